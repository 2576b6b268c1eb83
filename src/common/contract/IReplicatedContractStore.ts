import type { IEvent } from '../kernel/IEvent.js'
import type { ContractDecision } from './ContractDecision.js'
import type { ContractRenewal } from './ContractRenewal.js'
import type { IContractStore } from './IContractStore.js'

/** Contract store with the replication state that publishing, snapshot renewal and synchronisation with peers need. */
export interface IReplicatedContractStore extends IContractStore {
  /** Fires with the new `gapCount` when records were lost to retention, which requires a query to the peers. */
  readonly onGap: IEvent<number>
  /** Number of retention gaps since the start of this entry. */
  readonly gapCount: number
  /** Marks that all reachable peers were queried after the given number of gaps; ignored if there was another gap since. */
  markPeersQueried (gapCount: number): void
  /**
   * True when peers were queried since the last gap and the stream has been read to its end again.
   * Without a gap the stream need not be readable, so that an entry can start during a log outage.
   */
  isVerified (): boolean
  /** False while the revision in force may differ from the one that a fold of the complete log gives. */
  isExact (organisation: string): boolean
  /** Outcome of a recent `publish` record of any entry, by record id. */
  decision (recordId: string): ContractDecision | undefined
  /** Data for a snapshot of the revision in force. */
  renewal (organisation: string): ContractRenewal | undefined
}
