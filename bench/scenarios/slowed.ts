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
const SLOW_FACTOR = 10
const SLOW_MS = 1500
const PAUSE_MS = 800
const LOAD_LAG_MS = 3000

/** A quarter of the upstreams slowed 10 times for moments, with load reports 3 s late. */
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
        const [outcomes] = await Promise.all([runLoad(front, load), slowDown(cluster, random, durationMs)])
        return summariseLatencies(outcomes)
      },
      dispose: async () => await cluster.dispose()
    }
  }
}

async function slowDown (cluster: Cluster, random: () => number, durationMs: number): Promise<void> {
  for (let atMs = 0; atMs + PAUSE_MS + SLOW_MS <= durationMs; atMs += PAUSE_MS + SLOW_MS) {
    await sleep(PAUSE_MS)
    const ids = [
      ...pickQuarter(SERVICE_COUNT, random).map(index => `order-app-${index + 1}`),
      ...pickQuarter(ENGINE_COUNT, random).map(index => `shaping-llm-${index + 1}`)
    ]
    await Promise.all(ids.map(async id => await cluster.upstream(id).setFaults({ slow_factor: SLOW_FACTOR })))
    await sleep(SLOW_MS)
    await Promise.all(ids.map(async id => await cluster.upstream(id).setFaults()))
  }
}

function pickQuarter (count: number, random: () => number): number[] {
  const order = Array.from({ length: count }, (_, index) => ({ index, key: random() })).sort((a, b) => a.key - b.key)
  return order.slice(0, count / 4).map(({ index }) => index)
}
