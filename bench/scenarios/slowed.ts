import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster } from '../../tools/harness/Cluster.js'
import { createArrivals } from '../createArrivals.js'
import { createGeneration } from '../createGeneration.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import { policyOptions } from '../policyOptions.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const SERVICE_COUNT = 4
const ENGINE_COUNT = 8
const SLOWDOWN_FACTOR = 10
const SLOWDOWN_MS = 1500
const NORMAL_MS = 800
const LOAD_LAG_MS = 3000

/** Upstreams of which a random quarter repeatedly slows down by a factor of 10 for 1.5 s, with load reports delayed by 3 s. */
export const slowed: Scenario = {
  variants: ['default', 'no-hedging', 'round-robin', 'least-outstanding'],
  roundMs: 6000,
  rounds: 3,
  summaryNames: ['lookup p99 ms', 'advice p99 ms'],
  async start (variant) {
    const plan = policyOptions[variant]!
    const { cluster, front } = await startBenchCluster({
      entries: 4,
      services: {
        'order-app': { kind: 'plain', count: SERVICE_COUNT, ...plan, flags: () => ({ 'service-time-ms': 10, capacity: 8, 'load-lag-ms': LOAD_LAG_MS }) },
        'shaping-llm': { kind: 'engine', count: ENGINE_COUNT, ...plan, flags: () => ({ 'tokens-per-second': 400, 'load-lag-ms': LOAD_LAG_MS }) }
      }
    })
    return {
      async measureRound (random, durationMs) {
        const load = [
          ...createArrivals(random, 200, durationMs, createLookup),
          ...createArrivals(random, 40, durationMs, index => createGeneration('advice', `advice ${index} len=40`, 100))
        ]
        const [outcomes] = await Promise.all([runLoad(front, load), injectSlowdowns(cluster, random, durationMs)])
        return summariseLatencies(outcomes)
      },
      dispose: async () => await cluster.dispose()
    }
  }
}

/** Alternates between normal speed and a slowdown of a newly picked quarter of the upstreams of each service. */
async function injectSlowdowns (cluster: Cluster, random: () => number, durationMs: number): Promise<void> {
  for (let atMs = 0; atMs + NORMAL_MS + SLOWDOWN_MS <= durationMs; atMs += NORMAL_MS + SLOWDOWN_MS) {
    await sleep(NORMAL_MS)
    const ids = [
      ...pickQuarter(SERVICE_COUNT, random).map(index => `order-app-${index + 1}`),
      ...pickQuarter(ENGINE_COUNT, random).map(index => `shaping-llm-${index + 1}`)
    ]
    await Promise.all(ids.map(async id => await cluster.upstream(id).setFaults({ slow_factor: SLOWDOWN_FACTOR })))
    await sleep(SLOWDOWN_MS)
    await Promise.all(ids.map(async id => await cluster.upstream(id).setFaults()))
  }
}

/** Picks a random quarter of the indexes below `count`. */
function pickQuarter (count: number, random: () => number): number[] {
  const shuffled = Array.from({ length: count }, (_, index) => ({ index, key: random() })).sort((a, b) => a.key - b.key)
  return shuffled.slice(0, count / 4).map(({ index }) => index)
}
