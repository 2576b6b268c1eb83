/** Heartbeat of an entry. */
export interface PeerHeartbeat {
  id: string
  /** Sorts after all earlier incarnations of the same entry. */
  incarnation: string
  sequence: number
  isDraining: boolean
}
