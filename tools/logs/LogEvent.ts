/** One line of the log of an entry. */
export interface LogEvent {
  readonly name: string
  readonly entry: string
  /** Time of day as logged, to the second. */
  readonly time: string
  readonly wallMs: number
  /** Seconds since the begin of a simulated day, where the line begins with it. */
  readonly simulatedS: number | undefined
  readonly fields: ReadonlyMap<string, string>
}
