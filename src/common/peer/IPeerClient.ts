import type { ResultAsync } from 'neverthrow'
import type { ContractRevision } from '../contract/ContractRevision.js'
import type { PeerError } from './PeerError.js'

/** Calls other entries over connect-es. */
export interface IPeerClient {
  /** Fetches the contracts in force at the entry with this `ip:port`. */
  getContracts (address: string, timeoutMs: number): ResultAsync<Array<Omit<ContractRevision, 'contract'>>, PeerError>
}
