import type { ContractRevision } from './ContractRevision.js'

/** Fold state of one organisation. */
export interface ContractState {
  /** Known revisions in ascending order; the last one is current. */
  revisions: ContractRevision[]
  /** True when no record that could have changed the state was lost to retention. */
  isExact: boolean
  /** Log time of the newest record from which the current revision can be rebuilt. */
  lastRecordAtMs: number
}
