/** Another entry, as known from gossip and the membership list. */
export interface Peer {
  id: string
  incarnation: string
  failureDomain: string
  /** True if a heartbeat was received within the heartbeat timeout. */
  isAlive: boolean
  /** True when the entry is draining and accepts no new samples. */
  isDraining: boolean
}
