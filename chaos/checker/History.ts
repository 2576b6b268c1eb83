import type { Call } from './Call.js'
import type { ContractView } from './ContractView.js'
import type { FaultRecord } from './FaultRecord.js'
import type { LeavingMark } from './LeavingMark.js'
import type { LedgerRun } from './LedgerRun.js'
import type { PlannedStop } from './PlannedStop.js'
import type { Publication } from './Publication.js'
import type { TrainerHistory } from './TrainerHistory.js'

/** Everything that a fault run recorded; written to `history.json` under these names. */
export interface History {
  calls: Call[]
  runs: LedgerRun[]
  trainers: TrainerHistory[]
  publications: Publication[]
  views: ContractView[]
  marks: LeavingMark[]
  stops: PlannedStop[]
  faults: FaultRecord[]
  /** Descriptions of work that did not complete after all faults were removed. */
  unsettled: string[]
}
