import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { BatchItem } from '../../record/BatchItem.js'
import { createItem } from '../createItem.js'
import type { TrainerLoad } from './ClusterScenario.js'

const PROMPT_TOKENS = 1016
const TOKENS_PER_EVENT = 60
const MAX_EVENTS = 150
const LENGTH_SPREAD = 0.9
const HINT_SPREAD = 0.4

/** An item of the model with the number of events that it really generates. */
interface ModelItem { item: BatchItem, events: number }

/** Creates the items of a group. Lengths are log-normal, a few above 140 events; hints are right for the median item only. */
export function createGroup (id: string, trainer: TrainerLoad, random: ReturnType<typeof xoroshiro128plus>): ModelItem[] {
  return Array.from({ length: trainer.itemsPerGroup }, (_, index) => {
    const length = trainer.meanEvents * Math.exp(LENGTH_SPREAD * normal(random) - LENGTH_SPREAD ** 2 / 2)
    const events = Math.max(2, Math.min(MAX_EVENTS, Math.round(length)))
    const hint = Math.round(events * Math.exp(HINT_SPREAD * normal(random)) * TOKENS_PER_EVENT)
    const item = createItem(`${id}-${index}`, id, trainer.hasHints ? hint : undefined)
    return { events, item: { ...item, promptTokens: PROMPT_TOKENS, tokens: PROMPT_TOKENS + MAX_EVENTS * TOKENS_PER_EVENT } }
  })
}

function normal (random: ReturnType<typeof xoroshiro128plus>): number {
  const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)))
  return radius * Math.cos(2 * Math.PI * uniformFloat64(random))
}
