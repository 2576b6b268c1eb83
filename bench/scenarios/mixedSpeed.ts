import { createArrivals } from '../createArrivals.js'
import { createGeneration } from '../createGeneration.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import { policyOptions } from '../policyOptions.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const SERVICE_TIMES_MS = [5, 10, 20, 80]
const TOKENS_PER_SECOND = [400, 200, 200, 100, 100, 50]

/** Engines and plain services of widely differing speed. */
export const mixedSpeed: Scenario = {
  variants: ['default', 'random', 'round-robin', 'least-outstanding'],
  roundMs: 5000,
  rounds: 3,
  summaryNames: ['lookup p99 ms', 'advice p99 ms'],
  async start (variant) {
    const plan = policyOptions[variant]!
    const { cluster, front } = await startBenchCluster({
      entries: 4,
      services: {
        'order-app': { kind: 'plain', count: 4, ...plan, flags: index => ({ 'service-time-ms': SERVICE_TIMES_MS[index]!, capacity: 4 }) },
        'shaping-llm': { kind: 'engine', count: 6, ...plan, flags: index => ({ 'tokens-per-second': TOKENS_PER_SECOND[index]! }) }
      }
    })
    return {
      measureRound: async (random, durationMs) => summariseLatencies(await runLoad(front, [
        ...createArrivals(random, 150, durationMs, createLookup),
        ...createArrivals(random, 40, durationMs, index => createGeneration('advice', `advice ${index} len=60`, 100))
      ])),
      dispose: async () => await cluster.dispose()
    }
  }
}
