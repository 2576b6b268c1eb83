/** Exchanges suspects between entries before the crash records arrive through the log. */
export interface ISuspectGossip {
  /** Fingerprints to send to peers, those of the latest crashes first. */
  suspects (): string[]
  /** Handles requests named by a peer as suspects, without counting a crash. */
  addPeerSuspects (fingerprints: string[]): void
}
