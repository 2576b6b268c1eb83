import { createArrivals } from '../createArrivals.js'
import { createGeneration } from '../createGeneration.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import { policyOptions } from '../policyOptions.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'
import { createTicket } from '../createTicket.js'

const STRAGGLER_PART = 0.05
const SHORT_TOKENS = 20
// Stragglers are 50 times as long as the others.
const STRAGGLER_TOKENS = 1000

/** Few generations of 50 times the usual length, with short generations, lookups and tickets beside them. */
export const heavyTail: Scenario = {
  variants: ['default', 'unbounded', 'least-outstanding', 'plain'],
  roundMs: 6000,
  rounds: 3,
  summaryNames: ['hint p99 ms', 'ticket p99 ms', 'advice p50 ms'],
  async start (variant) {
    const plan = policyOptions[variant]!
    const { cluster, front } = await startBenchCluster({
      entries: 4,
      services: {
        'order-app': { kind: 'plain', count: 3, ...plan, flags: () => ({ 'service-time-ms': 10, capacity: 4 }) },
        'shaping-llm': { kind: 'engine', count: 4, ...plan, flags: () => ({ 'tokens-per-second': 400 }) }
      }
    })
    return {
      measureRound: async (random, durationMs) => summariseLatencies(await runLoad(front, [
        ...createArrivals(random, 80, durationMs, createLookup),
        ...createArrivals(random, 15, durationMs, createTicket),
        ...createArrivals(random, 40, durationMs, index => createGeneration('hint', `hint ${index} len=${SHORT_TOKENS}`, 64)),
        ...createArrivals(random, 100, durationMs, index => {
          const isStraggler = random() < STRAGGLER_PART
          const tokens = isStraggler ? STRAGGLER_TOKENS : SHORT_TOKENS
          return createGeneration(isStraggler ? 'straggler' : 'advice', `advice ${index} len=${tokens}`, STRAGGLER_TOKENS)
        })
      ])),
      dispose: async () => await cluster.dispose()
    }
  }
}
