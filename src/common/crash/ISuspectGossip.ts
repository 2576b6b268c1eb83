/** Suspects that entries tell each other before the log's records arrive. */
export interface ISuspectGossip {
  /** Fingerprints to send to peers, newest first. */
  suspects (): string[]
  /** A peer names these; they are handled as suspects, without counting a crash. */
  addPeerSuspects (fingerprints: string[]): void
}
