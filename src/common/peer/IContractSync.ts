/** Fetches contracts from other entries. */
export interface IContractSync {
  /** True when the peers' contracts may stand in for the log: see the readiness rule in the design page. */
  readonly isCurrent: boolean
  /** Asks one entry, because its gossip shows a newer revision. */
  fetchFrom (peerId: string): void
}
