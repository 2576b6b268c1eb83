import type { ContractChange } from './ContractChange.js'

/** One accepted change of a contract: who, when, and every changed field before and after. */
export interface AuditEntry {
  organisation: string
  revision: number
  operator: string
  atMs: number
  /** False when the preceding revision is no longer known, so that `changes` is empty. */
  isPrecedingKnown: boolean
  changes: ContractChange[]
}
