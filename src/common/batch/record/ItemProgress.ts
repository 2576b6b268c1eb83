/** What has been generated of an item so far. */
export interface ItemProgress {
  /** Data of the events in order. */
  events: string[]
  /** Id of the last event; 0 before the first. */
  lastEventId: number
  versions: number[]
  isComplete: boolean
}
