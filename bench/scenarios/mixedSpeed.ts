import { arrivals } from '../arrivals.js'
import { generation } from '../generation.js'
import { latencies } from '../latencies.js'
import { lookup } from '../lookup.js'
import { policyPlans } from '../policyPlans.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startCluster } from '../startCluster.js'

const SERVICE_TIMES_MS = [5, 10, 20, 80]
const TOKENS_PER_SECOND = [400, 200, 200, 100, 100, 50]

/** Engines and plain services of widely differing speed. */
export const mixedSpeed: Scenario = {
  variants: ['default', 'random', 'round-robin', 'least-outstanding'],
  roundMs: 5000,
  rounds: 3,
  headline: ['lookup p99 ms', 'advice p99 ms'],
  async start (variant) {
    const plan = policyPlans[variant]!
    const { cluster, front } = await startCluster({
      entries: 4,
      services: {
        'order-app': { kind: 'plain', count: 4, ...plan, flags: index => ({ 'service-time-ms': SERVICE_TIMES_MS[index]!, capacity: 4 }) },
        'shaping-llm': { kind: 'engine', count: 6, ...plan, flags: index => ({ 'tokens-per-second': TOKENS_PER_SECOND[index]! }) }
      }
    })
    return {
      round: async (random, durationMs) => latencies(await runLoad(front, [
        ...arrivals(random, 150, durationMs, lookup),
        ...arrivals(random, 40, durationMs, index => generation('advice', `advice ${index} len=60`, 100))
      ])),
      dispose: async () => await cluster.dispose()
    }
  }
}
