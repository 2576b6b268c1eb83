import type { Call } from './Call.js'
import type { ContractView } from './ContractView.js'
import type { FaultRecord } from './FaultRecord.js'
import type { LeavingMark } from './LeavingMark.js'
import type { LedgerRun } from './LedgerRun.js'
import type { PlannedStop } from './PlannedStop.js'
import type { Publication } from './Publication.js'
import type { TrainerHistory } from './TrainerHistory.js'

/** All that a fault run recorded. */
export interface History {
  calls: Call[]
  runs: LedgerRun[]
  trainers: TrainerHistory[]
  publications: Publication[]
  views: ContractView[]
  marks: LeavingMark[]
  stops: PlannedStop[]
  faults: FaultRecord[]
  /** Work that did not settle after all faults were healed. */
  unsettled: string[]
}
