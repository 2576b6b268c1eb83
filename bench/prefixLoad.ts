import type { Arrival } from './Arrival.js'
import { arrivals } from './arrivals.js'
import { generation } from './generation.js'

const PREFIX_COUNT = 12
/** Words of a shared prefix, each one token. */
const PREFIX_WORDS = 512
const PER_SECOND = 40

/** Generations whose prompts share one of several long prefixes; early prefixes are asked for more often. */
export function prefixLoad (random: () => number, durationMs: number): Arrival[] {
  return arrivals(random, PER_SECOND, durationMs, index => {
    const prefix = Math.floor(PREFIX_COUNT * random() ** 2)
    const words = Array.from({ length: PREFIX_WORDS }, (_, word) => `p${prefix}w${word}`).join(' ')
    return generation('advice', `${words} question ${index} len=30`, 60)
  })
}
