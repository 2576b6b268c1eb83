/** Output of an item so far. */
export interface ItemProgress {
  /** Data of the events in order. */
  events: string[]
  /** Id of the last event; 0 before the first. */
  lastEventId: number
  /** Weight versions that generated an event, in order of first use. */
  versions: number[]
  isComplete: boolean
}
