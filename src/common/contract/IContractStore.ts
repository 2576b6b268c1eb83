import type { IEvent } from '../kernel/IEvent.js'
import type { ContractDecision } from './ContractDecision.js'
import type { ContractRenewal } from './ContractRenewal.js'
import type { ContractRevision } from './ContractRevision.js'

/** Contracts in force, folded from the `contracts` stream and from peers. */
export interface IContractStore {
  /** Fires when a revision comes into force on this entry. */
  readonly onChange: IEvent<ContractRevision>
  /** Fires with the new `gapCount` when records were lost to retention, so that peers must be asked. */
  readonly onGap: IEvent<number>
  /** Number of retention gaps so far. */
  readonly gapCount: number
  current (customer: string): ContractRevision | undefined
  /** Contract whose callers hold the token with this SHA-256 digest (hex). */
  findByTokenDigest (digest: string): ContractRevision | undefined
  all (): ContractRevision[]
  /** Known revisions of a customer in ascending order. */
  history (customer: string): ContractRevision[]
  /** Takes over a peer's revision if it is higher than the one in force. */
  offer (revision: Omit<ContractRevision, 'contract'>): void
  /** States that all reachable peers were asked after the given number of gaps. */
  markPeersAsked (gapCount: number): void
  /**
   * True when peers were asked since the last gap and the stream has been re-read to its end since
   * then. Without a gap the stream need not be readable, so that an entry can start in an outage.
   */
  isVerified (): boolean
  /** False while the customer's fold state may lack records lost to retention. */
  isExact (customer: string): boolean
  /** Decision about a recent `publish` record of any entry, by record id. */
  decision (recordId: string): ContractDecision | undefined
  /** Data for a snapshot of the revision in force. */
  renewal (customer: string): ContractRenewal | undefined
}
