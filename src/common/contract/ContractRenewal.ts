import type { ContractRevision } from './ContractRevision.js'

/** Content of a snapshot of a contract, and the data that decide when it is due. */
export interface ContractRenewal {
  /** Log time of the newest record from which the revision in force can be rebuilt; undefined when there is none. */
  lastRecordAtMs: number | undefined
  /** True when the state was folded from the log without lost records. */
  isExact: boolean
  /** Newest revisions in ascending order; the last one is in force. */
  revisions: ContractRevision[]
}
