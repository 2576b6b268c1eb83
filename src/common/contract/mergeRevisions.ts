import type { ContractRevision } from './ContractRevision.js'

const MAX_HISTORY = 20

/** Merges two histories of an organisation, ascending and bounded; `preferred` wins for equal revisions. */
export function mergeRevisions (preferred: ContractRevision[], others: ContractRevision[]): ContractRevision[] {
  const byRevision = new Map<number, ContractRevision>()
  for (const item of [...others, ...preferred]) byRevision.set(item.revision, item)
  return [...byRevision.values()].sort((a, b) => a.revision - b.revision).slice(-MAX_HISTORY)
}
