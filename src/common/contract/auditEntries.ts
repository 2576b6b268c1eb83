import type { AuditEntry } from './AuditEntry.js'
import type { ContractRevision } from './ContractRevision.js'
import { diffContracts } from './diffContracts.js'

/** Derives the audit trail from a contract's history, which is in ascending order. */
export function auditEntries (history: ContractRevision[]): AuditEntry[] {
  return history.map((item, index) => {
    const previous = history[index - 1]
    const preceding = previous?.revision === item.revision - 1 ? previous : undefined
    const isPrecedingKnown = preceding !== undefined || item.revision === 1
    return {
      organisation: item.organisation,
      revision: item.revision,
      operator: item.operator,
      atMs: item.atMs,
      isPrecedingKnown,
      changes: isPrecedingKnown ? diffContracts(preceding?.contract, item.contract) : []
    }
  })
}
