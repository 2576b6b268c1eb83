import type { FaultRecord } from './FaultRecord.js'

/**
 * Returns the end of a time window (Unix time in ms). Each fault that overlaps the window restarts it at the end of
 * the fault, because a message that the fault delayed needs the whole window again.
 */
export function extendWindow (fromMs: number, windowMs: number, faults: FaultRecord[]): number {
  let endMs = fromMs + windowMs
  for (const fault of faults.toSorted((a, b) => a.fromMs - b.fromMs)) {
    if (fault.fromMs < endMs && fault.toMs > fromMs) endMs = Math.max(endMs, fault.toMs + windowMs)
  }
  return endMs
}
