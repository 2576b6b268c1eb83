// Engines slow down for seconds because of noisy neighbours; shorter bounds would move healthy streams.
const STALL_MIN_MS = 2000
const STALL_FACTOR = 20
// Prefill and the engine's own queue take longer than the gap between two chunks.
const FIRST_CHUNK_FACTOR = 100
// Leaves two thirds of the time for a resumed generation.
const SHARE_OF_REMAINING = 1 / 3

/**
 * Time without a chunk after which a stream is resumed elsewhere, in milliseconds.
 * `gapMs` is the observed mean time between chunks, undefined before the first chunk.
 */
export function stallTimeoutMs (remainingMs: number, unitTimeMs: number, gapMs?: number): number {
  const expectedMs = gapMs === undefined ? FIRST_CHUNK_FACTOR * unitTimeMs : STALL_FACTOR * gapMs
  return Math.min(Math.max(STALL_MIN_MS, expectedMs), remainingMs * SHARE_OF_REMAINING)
}
