/** Requests suspected of crashing the upstreams that run them, by fingerprint. */
export interface ISuspectTable {
  /** True when the request must be refused. */
  isBlocked (fingerprint: string): boolean
  /** True when the request was in flight on an upstream that died and has not completed since. */
  isSuspect (fingerprint: string): boolean
  /** The request completed on an upstream, which clears it. */
  recordCompletion (fingerprint: string): void
  /** An upstream died with these requests of this entry in flight. */
  recordCrash (upstreamId: string, bootId: string, fingerprints: string[]): void
  /**
   * True for a short time after a crash with the request in flight, until the crash records of other
   * entries can have arrived; the request must wait until then. Longer when the crash would block it.
   */
  isAwaitingCrashRecords (fingerprint: string): boolean
}
