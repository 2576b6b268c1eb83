/** The unexpected end of one boot of an upstream, merged from the crash records of all entries. */
export interface CrashEvent {
  /** `Date.now()` when the first record arrived, or the earliest log time of a record if that is before it. */
  atMs: number
  /** Requests that at least one of the reporting entries had in flight or that may still have been running. */
  fingerprints: Set<string>
}
