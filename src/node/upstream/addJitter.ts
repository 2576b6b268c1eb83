/** Relative variation of poll intervals, which keeps the polls of many entries from synchronising. */
const JITTER_RATIO = 0.2

/** Varies an interval at random by up to 20% in both directions. */
export function addJitter (intervalMs: number): number {
  return intervalMs * (1 - JITTER_RATIO + 2 * JITTER_RATIO * Math.random())
}
