import type { Cluster } from '../../tools/harness/Cluster.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { policyOptions } from '../policyOptions.js'
import { createPrefixLoad } from '../createPrefixLoad.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const ENGINE_COUNT = 4
// 4 of the 12 prefixes of 32 blocks fit, and some blocks of the prompts' own parts.
const CACHE_BLOCKS = 150
const BLOCKS_PER_PREFIX = 32

/** Shared prompt prefixes and engines whose caches hold a third of them. */
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
    const storedSince = storedCounter(cluster)
    return {
      async measureRound (random, durationMs) {
        const outcomes = await runLoad(front, createPrefixLoad(random, durationMs))
        const stored = await storedSince()
        return {
          'cached prefixes %': 100 * (1 - stored / (outcomes.length * BLOCKS_PER_PREFIX)),
          ...summariseLatencies(outcomes, ({ firstByteMs }) => firstByteMs, ' first token'),
          ...summariseLatencies(outcomes)
        }
      },
      dispose: async () => await cluster.dispose()
    }
  }
}

/** Counts the blocks that the engines' caches stored since the last call; a hit stores none. */
function storedCounter (cluster: Cluster): () => Promise<number> {
  const next = new Array<number>(ENGINE_COUNT).fill(0)
  return async () => {
    const counts = await Promise.all(next.map(async (from, index) => {
      const answer = await cluster.upstream(`shaping-llm-${index + 1}`).get(`/v1/cache-events?from=${from}`)
      next[index] = answer.next
      return (answer.events as Array<{ kind: string }>).filter(({ kind }) => kind === 'stored').length
    }))
    return counts.reduce((sum, count) => sum + count, 0)
  }
}
