import { extendWindow } from './extendWindow.js'
import type { FaultRecord } from './FaultRecord.js'
import type { History } from './History.js'
import type { LeavingMark } from './LeavingMark.js'
import type { Violation } from './Violation.js'
import { windows } from './windows.js'

/** Invariant 7: a leaving upstream runs nothing that begins after the window. */
export function checkLeaving (history: History): Violation[] {
  const entries = new Map(history.calls.map(call => [call.id, call.entry]))
  return history.marks.flatMap(mark => {
    const during = history.runs.filter(run => run.upstream === mark.upstream && run.atMs < mark.toMs)
    const late = during.filter(run => {
      const entry = entries.get(run.requestId.split('.')[0]!)
      return run.atMs > extendWindow(mark.fromMs, windows.leavingMs, history.faults.filter(fault => hinders(fault, mark, entry)))
    })
    return late.map(run => ({ rule: '7 leaving', subject: mark.upstream, message: `work ${run.atMs - mark.fromMs} ms after the mark`, records: [mark, run] }))
  })
}

/** Faults that delay the mark on its way to the entry, or work that was sent before the mark was known. */
function hinders ({ kind, target }: FaultRecord, { upstream }: LeavingMark, entry = 'balancer'): boolean {
  // The mark itself is in the list of faults too.
  if (kind === 'upstream_leaving') return false
  if (kind.startsWith('membership_') || target === upstream) return true
  // Behind the balancer, and for samples, it may be any entry.
  const isOfEntry = entry === 'balancer' || target.split('>')[0] === entry
  return isOfEntry && (kind === 'entry_pause' || target.endsWith(`>${upstream}`) || target.endsWith('>membership'))
}
