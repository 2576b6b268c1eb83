import type { FaultRecord } from './FaultRecord.js'

/** End of a window, moved past each fault that begins before it ends: a hindered message needs the time again. */
export function extendWindow (fromMs: number, windowMs: number, faults: FaultRecord[]): number {
  let endMs = fromMs + windowMs
  for (const fault of faults.toSorted((a, b) => a.fromMs - b.fromMs)) {
    if (fault.fromMs < endMs && fault.toMs > fromMs) endMs = Math.max(endMs, fault.toMs + windowMs)
  }
  return endMs
}
