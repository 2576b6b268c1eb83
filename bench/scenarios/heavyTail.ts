import { arrivals } from '../arrivals.js'
import { generation } from '../generation.js'
import { latencies } from '../latencies.js'
import { lookup } from '../lookup.js'
import { policyPlans } from '../policyPlans.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startCluster } from '../startCluster.js'
import { ticket } from '../ticket.js'

const STRAGGLER_PART = 0.05
const SHORT_TOKENS = 20
// Stragglers are 50 times as long as the others.
const STRAGGLER_TOKENS = 1000

/** Few generations of 50 times the usual length, with short generations, lookups and tickets beside them. */
export const heavyTail: Scenario = {
  variants: ['default', 'unbounded', 'least-outstanding', 'plain'],
  roundMs: 6000,
  rounds: 3,
  headline: ['hint p99 ms', 'ticket p99 ms', 'advice p50 ms'],
  async start (variant) {
    const plan = policyPlans[variant]!
    const { cluster, front } = await startCluster({
      entries: 4,
      services: {
        'order-app': { kind: 'plain', count: 3, ...plan, flags: () => ({ 'service-time-ms': 10, capacity: 4 }) },
        'shaping-llm': { kind: 'engine', count: 4, ...plan, flags: () => ({ 'tokens-per-second': 400 }) }
      }
    })
    return {
      round: async (random, durationMs) => latencies(await runLoad(front, [
        ...arrivals(random, 80, durationMs, lookup),
        ...arrivals(random, 15, durationMs, ticket),
        ...arrivals(random, 40, durationMs, index => generation('hint', `hint ${index} len=${SHORT_TOKENS}`, 64)),
        ...arrivals(random, 100, durationMs, index => {
          const isStraggler = random() < STRAGGLER_PART
          const tokens = isStraggler ? STRAGGLER_TOKENS : SHORT_TOKENS
          return generation(isStraggler ? 'straggler' : 'advice', `advice ${index} len=${tokens}`, STRAGGLER_TOKENS)
        })
      ])),
      dispose: async () => await cluster.dispose()
    }
  }
}
