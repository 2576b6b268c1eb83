import type { Cluster } from '../../tools/harness/Cluster.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { policyOptions } from '../policyOptions.js'
import { createPrefixLoad } from '../createPrefixLoad.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const ENGINE_COUNT = 4
// Fits 4 of the 12 prefixes of 32 blocks each, and some blocks of the unshared parts of the prompts.
const CACHE_BLOCKS = 150
const BLOCKS_PER_PREFIX = 32

/** Prompts with shared prefixes, on engines whose prefix caches each hold a third of the prefixes. */
export const prefix: Scenario = {
  variants: ['default', 'random', 'round-robin', 'least-outstanding'],
  roundMs: 5000,
  rounds: 3,
  summaryNames: ['advice first token p50 ms', 'advice first token p99 ms', 'cached prefixes %'],
  async start (variant) {
    const { cluster, front } = await startBenchCluster({
      entries: 4,
      services: {
        'shaping-llm': {
          kind: 'engine',
          count: ENGINE_COUNT,
          ...policyOptions[variant]!,
          flags: () => ({
            'tokens-per-second': 300,
            'prefill-tokens-per-second': 2000,
            'cache-blocks': CACHE_BLOCKS,
            'cache-event-lag-ms': 0,
            'cache-event-lose-every': 0
          })
        }
      }
    })
    const countNewlyStored = createStoredBlockCounter(cluster)
    return {
      async measureRound (random, durationMs) {
        const outcomes = await runLoad(front, createPrefixLoad(random, durationMs))
        const storedBlocks = await countNewlyStored()
        return {
          'cached prefixes %': 100 * (1 - storedBlocks / (outcomes.length * BLOCKS_PER_PREFIX)),
          ...summariseLatencies(outcomes, ({ firstByteMs }) => firstByteMs, ' first token'),
          ...summariseLatencies(outcomes)
        }
      },
      dispose: async () => await cluster.dispose()
    }
  }
}

/** Returns a function that counts the blocks that the engines' caches stored since its last call; a cache hit stores none. */
function createStoredBlockCounter (cluster: Cluster): () => Promise<number> {
  const nextOffsets = new Array<number>(ENGINE_COUNT).fill(0)
  return async () => {
    const counts = await Promise.all(nextOffsets.map(async (from, index) => {
      const response = await cluster.upstream(`shaping-llm-${index + 1}`).get(`/v1/cache-events?from=${from}`)
      nextOffsets[index] = response.next
      return (response.events as Array<{ kind: string }>).filter(({ kind }) => kind === 'stored').length
    }))
    return counts.reduce((sum, count) => sum + count, 0)
  }
}
