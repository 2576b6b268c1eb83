import type { ContractChange } from './ContractChange.js'

/** Audit record of one accepted contract revision: operator, time, and each changed field before and after. */
export interface AuditEntry {
  organisation: string
  revision: number
  operator: string
  atMs: number
  /** False when the preceding revision is no longer in the history; `changes` is empty then. */
  isPrecedingKnown: boolean
  changes: ContractChange[]
}
