/** The end of one boot of an upstream, merged from the records of all entries. */
export interface CrashEvent {
  /** `Date.now()` of the first record, or the log's time if that is earlier. */
  atMs: number
  /** Requests in flight, of all entries that reported. */
  fingerprints: Set<string>
}
