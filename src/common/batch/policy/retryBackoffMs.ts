const INITIAL_BACKOFF_MS = 20
/** Below 5 s, the longest that an item may wait while no engine runs it. */
const MAX_BACKOFF_MS = 3000

/**
 * Back-off before an item is retried. It quadruples with each consecutive run that broke before its first event,
 * because such an item may be crashing the engines that start it.
 */
export function retryBackoffMs (failuresWithoutOutput: number): number {
  return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 4 ** Math.max(0, failuresWithoutOutput - 1))
}
