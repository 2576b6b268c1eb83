import { extendWindow } from './extendWindow.js'
import type { FaultRecord } from './FaultRecord.js'
import type { History } from './History.js'
import type { LeavingMark } from './LeavingMark.js'
import type { Violation } from './Violation.js'
import { tolerances } from './tolerances.js'

/** Invariant 7: no work starts on a leaving upstream later than `tolerances.leavingPropagationMs` after its mark. */
export function checkLeaving (history: History): Violation[] {
  const entries = new Map(history.calls.map(call => [call.id, call.entry]))
  return history.marks.flatMap(mark => {
    const duringMark = history.runs.filter(run => run.upstream === mark.upstream && run.atMs < mark.toMs)
    const late = duringMark.filter(run => {
      const entry = entries.get(run.requestId.split('.')[0]!)
      return run.atMs > extendWindow(mark.fromMs, tolerances.leavingPropagationMs, history.faults.filter(fault => canDelayWork(fault, mark, entry)))
    })
    return late.map(run => ({ rule: '7 leaving', subject: mark.upstream, message: `work ${run.atMs - mark.fromMs} ms after the upstream was marked as leaving`, records: [mark, run] }))
  })
}

/** True for faults that can delay the mark on its way to the entry, or work sent before the entry read the mark. */
function canDelayWork ({ kind, target }: FaultRecord, { upstream }: LeavingMark, entry = 'balancer'): boolean {
  // The mark itself is recorded as a fault too and delays nothing.
  if (kind === 'upstream_leaving') return false
  if (kind.startsWith('membership_') || target === upstream) return true
  // Calls through the balancer, and samples, may have passed through any entry.
  const isAtEntry = entry === 'balancer' || target.split('>')[0] === entry
  return isAtEntry && (kind === 'entry_pause' || target.endsWith(`>${upstream}`) || target.endsWith('>membership'))
}
