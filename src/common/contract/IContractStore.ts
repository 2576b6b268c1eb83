import type { IEvent } from '../kernel/IEvent.js'
import type { ContractRevision } from './ContractRevision.js'

/** Contracts in force, from the fold of the `contracts` stream and from peers. */
export interface IContractStore {
  /** Fires when a revision comes into force on this entry. */
  readonly onChange: IEvent<ContractRevision>
  /** Revision in force; undefined if the organisation has no contract. */
  current (organisation: string): ContractRevision | undefined
  /** Contract that lists the token with this SHA-256 digest (hex). */
  findByTokenDigest (digest: string): ContractRevision | undefined
  /** Revisions in force of all organisations. */
  all (): ContractRevision[]
  /** Known revisions of an organisation in ascending order. */
  history (organisation: string): ContractRevision[]
  /** Puts a revision from a peer into force if it is higher than the current one. */
  offer (revision: Omit<ContractRevision, 'contract'>): void
}
