/** Another entry as the gossip shows it. */
export interface Peer {
  id: string
  incarnation: string
  failureDomain: string
  /** True while a heartbeat was heard within the heartbeat timeout. */
  isAlive: boolean
  /** True when the entry drains and takes no new samples. */
  isDraining: boolean
}
