import type { Call } from './Call.js'
import type { FaultRecord } from './FaultRecord.js'
import { tolerances } from './tolerances.js'

const CONNECTION_FAULT_KINDS = ['entry_kill', 'entry_pause', 'balancer_outage']

/** True if the fault closes or stalls client connections at the entry of the call and overlaps the call in time. */
export function affectsCall (fault: FaultRecord, call: Call): boolean {
  if (!CONNECTION_FAULT_KINDS.includes(fault.kind)) return false
  const isOnPath = call.entry === 'balancer' || call.entry === fault.target
  return isOnPath && fault.fromMs <= call.endedAtMs + tolerances.clockSkewMs && fault.toMs >= call.startedAtMs - tolerances.clockSkewMs
}
