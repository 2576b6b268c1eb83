import type { Arrival } from './Arrival.js'
import { createArrivals } from './createArrivals.js'
import { createGeneration } from './createGeneration.js'

const PREFIX_COUNT = 12
/** Words of a shared prefix, each one token. */
const PREFIX_WORDS = 512
const PER_SECOND = 40

/** Generations whose prompts share one of several long prefixes; early prefixes are asked for more often. */
export function createPrefixLoad (random: () => number, durationMs: number): Arrival[] {
  return createArrivals(random, PER_SECOND, durationMs, index => {
    const prefix = Math.floor(PREFIX_COUNT * random() ** 2)
    const words = Array.from({ length: PREFIX_WORDS }, (_, word) => `p${prefix}w${word}`).join(' ')
    return createGeneration('advice', `${words} question ${index} len=30`, 60)
  })
}
