import type { Call } from './Call.js'
import type { FaultRecord } from './FaultRecord.js'
import { windows } from './windows.js'

const KINDS = ['entry_kill', 'entry_pause', 'balancer_outage']

/** True when a fault that breaks or holds connections of callers overlaps the call at its entry. */
export function touchesCall (fault: FaultRecord, call: Call): boolean {
  if (!KINDS.includes(fault.kind)) return false
  const isOnPath = call.entry === 'balancer' || call.entry === fault.target
  return isOnPath && fault.fromMs <= call.endedAtMs + windows.clockMs && fault.toMs >= call.startedAtMs - windows.clockMs
}
