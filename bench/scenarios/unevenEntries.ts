import { arrivals } from '../arrivals.js'
import { latencies } from '../latencies.js'
import { lookup } from '../lookup.js'
import { policyPlans } from '../policyPlans.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startCluster } from '../startCluster.js'

// Entries of size 4, 2, 1 and 1 behind the balancer, which is blind to load.
const TARGETS = [0, 1, 0, 2, 0, 1, 0, 3]

/** Entries that carry unequal parts of the load. */
export const unevenEntries: Scenario = {
  variants: ['default', 'random', 'round-robin', 'least-outstanding'],
  roundMs: 5000,
  rounds: 3,
  headline: ['lookup p99 ms'],
  async start (variant) {
    const { cluster, front } = await startCluster({
      entries: 4,
      targets: TARGETS,
      services: { 'order-app': { kind: 'plain', count: 4, ...policyPlans[variant]!, flags: () => ({ 'service-time-ms': 20, capacity: 2 }) } }
    })
    return {
      round: async (random, durationMs) => latencies(await runLoad(front, arrivals(random, 250, durationMs, lookup))),
      dispose: async () => await cluster.dispose()
    }
  }
}
