// Engines slow down for seconds because of noisy neighbours; a shorter timeout would move healthy streams.
const MIN_STALL_TIMEOUT_MS = 2000
// Multiple of the mean interval between chunks.
const CHUNK_INTERVAL_FACTOR = 20
// Multiple of the time per token. Prefill and the engine's own queue take longer than the interval between chunks.
const FIRST_CHUNK_FACTOR = 100
// Leaves two thirds of the remaining time for the resumed generation.
const REMAINING_TIME_RATIO = 1 / 3

/**
 * Time without a chunk after which a stream counts as stalled, in milliseconds.
 * `chunkIntervalMs` is the observed mean interval between chunks, undefined before the second chunk.
 */
export function stallTimeoutMs (remainingMs: number, unitTimeMs: number, chunkIntervalMs?: number): number {
  const expectedMs = chunkIntervalMs === undefined ? FIRST_CHUNK_FACTOR * unitTimeMs : CHUNK_INTERVAL_FACTOR * chunkIntervalMs
  return Math.min(Math.max(MIN_STALL_TIMEOUT_MS, expectedMs), remainingMs * REMAINING_TIME_RATIO)
}
