import type { ContractRevision } from './ContractRevision.js'

/** What a snapshot of a contract would hold, and whether the log still needs it. */
export interface ContractRenewal {
  /** Log time of the newest record that keeps the revision in force; undefined when there is none. */
  lastRecordAtMs: number | undefined
  /** True when the state follows from an unbroken reading of the log. */
  isExact: boolean
  /** Newest revisions in ascending order; the last one is in force. */
  revisions: ContractRevision[]
}
