import type { ResultAsync } from 'neverthrow'
import type { ContractError } from './ContractError.js'
import type { ContractRevision } from './ContractRevision.js'

/** Publishes contracts through the log. */
export interface IContractPublisher {
  /** Resolves when the revision is in force on this entry; fails with `contract_conflict` if another publication came first. */
  publish (organisation: string, baseRevision: number, operator: string, text: string): ResultAsync<ContractRevision, ContractError>
}
