import type { PeerHeartbeat } from './PeerHeartbeat.js'

/** What an entry has to tell; lists that do not fit rotate through successive datagrams. */
export interface GossipContent {
  sender: string
  incarnation: string
  failureDomain: string
  isDraining: boolean
  heartbeats: PeerHeartbeat[]
  contractHeads: Array<{ organisation: string, revision: number }>
  upstreams: Array<{ id: string, incarnation: string, outstanding: number, isLeaving: boolean }>
  suspects: string[]
}
