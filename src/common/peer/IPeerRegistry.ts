import type { Member } from '../schema/Member.js'
import type { IPeerTable } from './IPeerTable.js'
import type { PeerHeartbeat } from './PeerHeartbeat.js'

/** Write access to the peer table, for the membership poller and gossip. */
export interface IPeerRegistry extends IPeerTable {
  /** Incarnation of this process; sorts after the incarnations of earlier processes of this entry. */
  readonly incarnation: string
  readonly isDraining: boolean
  /** True once a membership list has been received. */
  readonly hasMembershipList: boolean
  /** Marks this entry as draining. */
  startDraining (): void
  updateMembers (members: Member[]): void
  /** Records a heartbeat; `source` is set only when it was received from the entry itself rather than relayed. */
  recordHeartbeat (heartbeat: PeerHeartbeat, source?: { address: string, failureDomain: string }): void
  /** Heartbeats of other entries that are recent enough to be relayed, newest first. */
  freshHeartbeats (): PeerHeartbeat[]
  /** UDP addresses of other entries, from the membership list and from received datagrams. */
  peerAddresses (): string[]
  /** connect-es addresses of the other entries of the membership list, by entry id. */
  rpcAddresses (): Map<string, string>
}
