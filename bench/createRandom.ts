import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

// Keeps rounds of neighbouring seeds from using the same generator state.
const SEED_STRIDE = 7919

/** Creates a generator of random numbers in [0, 1) for one round. All variants of a round get the same numbers. */
export function createRandom (seed: number, round: number): () => number {
  const generator = xoroshiro128plus(seed * SEED_STRIDE + round)
  return () => uniformFloat64(generator)
}
