import { setTimeout as sleep } from 'node:timers/promises'
import { createArrivals } from '../createArrivals.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import { policyOptions } from '../policyOptions.js'
import { createPrefixLoad } from '../createPrefixLoad.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const ENTRY_COUNT = 3
const FIRST_MS = 500
// The balancer forgets a target 500 ms after it was told; its connections then have time to end.
const NOTICE_MS = 600

/** Every entry replaced in turn under load, with what it had learned lost and the engines' caches cold. */
export const restart: Scenario = {
  variants: ['default', 'random', 'least-outstanding'],
  roundMs: 12_000,
  rounds: 2,
  restartsEachRound: true,
  summaryNames: ['lookup p99 ms', 'advice first token p99 ms'],
  async start (variant) {
    const plan = policyOptions[variant]!
    const { cluster, front, setTargets } = await startBenchCluster({
      entries: ENTRY_COUNT,
      services: {
        'order-app': { kind: 'plain', count: 4, ...plan, flags: index => ({ 'service-time-ms': index === 0 ? 40 : 10, capacity: 4 }) },
        'shaping-llm': { kind: 'engine', count: 4, ...plan, flags: () => ({ 'tokens-per-second': 300, 'prefill-tokens-per-second': 2000, 'cache-blocks': 150 }) }
      }
    })
    const replaceAll = async (): Promise<void> => {
      await sleep(FIRST_MS)
      for (const [index, entry] of cluster.entries.entries()) {
        await setTargets(cluster.entries.map((_, other) => other).filter(other => other !== index))
        await sleep(NOTICE_MS)
        await entry.terminate()
        await cluster.restart(entry)
        while (await entry.fetchReadinessStatus() !== 200) await sleep(50)
        await setTargets(cluster.entries.map((_, other) => other))
        await sleep(NOTICE_MS)
      }
    }
    return {
      async measureRound (random, durationMs) {
        const load = [...createArrivals(random, 100, durationMs, createLookup), ...createPrefixLoad(random, durationMs)]
        const startMs = performance.now()
        const [outcomes, replacedMs] = await Promise.all([runLoad(front, load), replaceAll().then(() => performance.now() - startMs)])
        return {
          ...summariseLatencies(outcomes),
          ...summariseLatencies(outcomes, ({ firstByteMs }) => firstByteMs, ' first token'),
          'all entries replaced after ms': replacedMs
        }
      },
      dispose: async () => await cluster.dispose()
    }
  }
}
