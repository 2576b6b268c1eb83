import type { Member } from '../schema/Member.js'
import type { IPeerTable } from './IPeerTable.js'
import type { PeerHeartbeat } from './PeerHeartbeat.js'

/** The writing side of the peer table: fed by the membership list and the gossip. */
export interface IPeerRegistry extends IPeerTable {
  /** Incarnation of this process; sorts after those of earlier processes. */
  readonly incarnation: string
  readonly isDraining: boolean
  /** True once a membership list was read. */
  readonly hasMembershipList: boolean
  /** From now on this entry counts as draining. */
  startDraining (): void
  updateMembers (members: Member[]): void
  /** Takes a heartbeat; `source` is set when it came from the entry itself. */
  recordHeartbeat (heartbeat: PeerHeartbeat, source?: { address: string, failureDomain: string }): void
  /** Heartbeats of other entries that are fresh enough to be passed on, newest first. */
  freshHeartbeats (): PeerHeartbeat[]
  /** UDP addresses of other entries, listed or heard. */
  peerAddresses (): string[]
  /** connect-es addresses of the other listed entries, by entry id. */
  rpcAddresses (): Map<string, string>
}
