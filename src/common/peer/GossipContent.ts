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
  /** Suspects that may be running; sent in full, as far as they fit. */
  runningSuspects: string[]
}
