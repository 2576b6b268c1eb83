import type { Contract } from '../schema/Contract.js'

/** One accepted revision of a contract. */
export interface ContractRevision {
  organisation: string
  revision: number
  operator: string
  atMs: number
  /** Text of the contract file as published. */
  text: string
  contract: Contract
}
