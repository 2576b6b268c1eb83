import type { LoadReading } from '../LoadReading.js'
import type { LoadAverages } from './LoadAverages.js'

/** Weight of a new reading. The ratio of traffic changes slowly, and a burst of own requests must not hide the other processes. */
const READING_WEIGHT = 0.05

/**
 * Averages after a further load reading, which arrived while `outstanding` other own requests were in flight. The request
 * whose response brought it counts as an own one: servers differ in whether their readings contain it, and the ratio must
 * not exceed 1 for the only process in either case.
 */
export function updateLoadAverages (previous: LoadAverages, load: LoadReading, outstanding: number): LoadAverages {
  return {
    total: previous.total + READING_WEIGHT * (load.running + load.waiting - previous.total),
    own: previous.own + READING_WEIGHT * (outstanding + 1 - previous.own)
  }
}
