/** Requests suspected of crashing the upstreams that run them, by fingerprint. */
export interface ISuspectTable {
  /** True when the request must be rejected. */
  isBlocked (fingerprint: string): boolean
  /** True when the request was in flight on an upstream that crashed and has not completed since, or a peer reports so. */
  isSuspect (fingerprint: string): boolean
  /** Records that the request completed on an upstream, which clears it of suspicion. */
  recordCompletion (fingerprint: string): void
  /** Records that an upstream crashed with these requests of this entry in flight. */
  recordCrash (upstreamId: string, bootId: string, fingerprints: string[]): void
  /**
   * True for a short time after a crash with the request in flight, until the crash records of other
   * entries should have arrived; the request must wait until then. The time is longer when the crash would block it.
   */
  isAwaitingCrashRecords (fingerprint: string): boolean
  /** Whether a peer may be running the suspect at one of its upstreams. */
  isRunningAtPeer (fingerprint: string): boolean
  /** Tells the peers that a suspect runs, until the returned function is called; see `SuspectRuns.start`. */
  startRun (fingerprint: string): (isResolved: boolean) => void
}
