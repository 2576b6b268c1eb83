import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

// Rounds of close seeds must not share the start of their sequences.
const SEED_STRIDE = 7919

/** Random numbers from 0 up to, not including, 1 for one round of a run; variants of a round share them. */
export function createRandom (seed: number, round: number): () => number {
  const generator = xoroshiro128plus(seed * SEED_STRIDE + round)
  return () => uniformFloat64(generator)
}
