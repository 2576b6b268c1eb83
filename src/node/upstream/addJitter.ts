/** Spread of poll intervals, so that the polls of many entries do not fall together. */
const JITTER = 0.2

/** An interval varied at random by up to 20% in both directions. */
export function addJitter (intervalMs: number): number {
  return intervalMs * (1 - JITTER + 2 * JITTER * Math.random())
}
