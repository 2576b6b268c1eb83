import type { ContractRevision } from './ContractRevision.js'

const MAX_REVISIONS = 20

/** Merges two histories of an organisation and keeps the newest revisions, in ascending order; `preferred` wins for equal revisions. */
export function mergeRevisions (preferred: ContractRevision[], others: ContractRevision[]): ContractRevision[] {
  const byRevision = new Map<number, ContractRevision>()
  for (const item of [...others, ...preferred]) byRevision.set(item.revision, item)
  return [...byRevision.values()].sort((a, b) => a.revision - b.revision).slice(-MAX_REVISIONS)
}
