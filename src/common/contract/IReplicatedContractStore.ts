import type { IEvent } from '../kernel/IEvent.js'
import type { ContractDecision } from './ContractDecision.js'
import type { ContractRenewal } from './ContractRenewal.js'
import type { IContractStore } from './IContractStore.js'

/** The contract store as seen by publishing, snapshot renewal and the transfer between entries. */
export interface IReplicatedContractStore extends IContractStore {
  /** Fires with the new `gapCount` when records were lost to retention, so that peers must be asked. */
  readonly onGap: IEvent<number>
  /** Number of retention gaps so far. */
  readonly gapCount: number
  /** States that all reachable peers were asked after the given number of gaps. */
  markPeersAsked (gapCount: number): void
  /**
   * True when peers were asked since the last gap and the stream has been re-read to its end since
   * then. Without a gap the stream need not be readable, so that an entry can start in an outage.
   */
  isVerified (): boolean
  /** False while the revision in force may differ from what a complete reading of the log gives. */
  isExact (organisation: string): boolean
  /** Decision about a recent `publish` record of any entry, by record id. */
  decision (recordId: string): ContractDecision | undefined
  /** Data for a snapshot of the revision in force. */
  renewal (organisation: string): ContractRenewal | undefined
}
