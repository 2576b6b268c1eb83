import { extendWindow } from './extendWindow.js'
import type { FaultRecord } from './FaultRecord.js'
import type { History } from './History.js'
import type { LeavingMark } from './LeavingMark.js'
import type { Violation } from './Violation.js'
import { windows } from './windows.js'

/** Invariant 7: a leaving upstream runs nothing that begins after the window. */
export function checkLeaving (history: History): Violation[] {
  return history.marks.flatMap(mark => {
    const endMs = extendWindow(mark.fromMs, windows.leavingMs, history.faults.filter(fault => hinders(fault, mark)))
    const late = history.runs.filter(run => run.upstream === mark.upstream && run.atMs > endMs && run.atMs < mark.toMs)
    return late.map(run => ({ rule: '7 leaving', subject: mark.upstream, message: `work ${run.atMs - mark.fromMs} ms after the mark`, records: [mark, run] }))
  })
}

/** Faults that delay the mark on its way, or work that was sent before the mark was known. */
function hinders ({ kind, target }: FaultRecord, { upstream }: LeavingMark): boolean {
  // The mark itself is in the list of faults too.
  if (kind === 'upstream_leaving') return false
  return kind === 'entry_pause' || kind.startsWith('membership_') || target === upstream ||
    target.endsWith(`>${upstream}`) || target.endsWith('>membership')
}
