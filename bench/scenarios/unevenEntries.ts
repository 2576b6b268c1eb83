import { createArrivals } from '../createArrivals.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import { policyOptions } from '../policyOptions.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

// Entries of size 4, 2, 1 and 1 behind the balancer, which is blind to load.
const TARGETS = [0, 1, 0, 2, 0, 1, 0, 3]

/** Entries that carry unequal parts of the load. */
export const unevenEntries: Scenario = {
  variants: ['default', 'random', 'round-robin', 'least-outstanding'],
  roundMs: 5000,
  rounds: 3,
  summaryNames: ['lookup p99 ms'],
  async start (variant) {
    const { cluster, front } = await startBenchCluster({
      entries: 4,
      targets: TARGETS,
      services: { 'order-app': { kind: 'plain', count: 4, ...policyOptions[variant]!, flags: () => ({ 'service-time-ms': 20, capacity: 2 }) } }
    })
    return {
      measureRound: async (random, durationMs) => summariseLatencies(await runLoad(front, createArrivals(random, 250, durationMs, createLookup))),
      dispose: async () => await cluster.dispose()
    }
  }
}
