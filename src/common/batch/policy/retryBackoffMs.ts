const FIRST_PAUSE_MS = 20
/** An item that no engine has may not wait for 5 s. */
const MAX_PAUSE_MS = 3000

/**
 * Pause before an item is sent again. It doubles with each run in a row that broke before its first event,
 * because such an item may crash the engines that begin to run it.
 */
export function retryBackoffMs (barrenBreaks: number): number {
  return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 4 ** Math.max(0, barrenBreaks - 1))
}
