import type { PeerHeartbeat } from './PeerHeartbeat.js'

/** State that an entry sends to its peers. Lists that do not fit one datagram are spread over successive datagrams. */
export interface GossipContent {
  sender: string
  incarnation: string
  failureDomain: string
  isDraining: boolean
  heartbeats: PeerHeartbeat[]
  contractHeads: Array<{ organisation: string, revision: number }>
  upstreams: Array<{ id: string, incarnation: string, outstanding: number, isLeaving: boolean }>
  suspects: string[]
  /** Keys of suspects that may be running; at most three are sent. */
  runningSuspects: string[]
}
