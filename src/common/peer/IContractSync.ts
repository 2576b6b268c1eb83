/** Fetches contracts from other entries, so that an entry can become ready while the log is unavailable. */
export interface IContractSync {
  /**
   * True when this entry may serve with the contracts it has: it has read the `contracts` stream to its end or received
   * contracts from a peer. After a retention gap it must have queried its peers and read the stream to its end again. See
   * the readiness rule in the design page.
   */
  readonly isCurrent: boolean
  /** Fetches the contracts of one entry whose gossip announced a newer revision. */
  fetchFrom (peerId: string): void
}
