import { setTimeout as sleep } from 'node:timers/promises'
import { createArrivals } from '../createArrivals.js'
import { createBenchContract } from '../createBenchContract.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import type { RequestOutcome } from '../RequestOutcome.js'
import { policyOptions } from '../policyOptions.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const DEADLINE_MS = 1000
// Capacity is 4 upstreams x 2 places / 50 ms = 160 requests/s; the load is 240/s.
const CAPACITY_PER_SECOND = 160
const GREEDY_PER_SECOND = 200
const MODEST_PER_SECOND = 40
// Lets the upstreams work off what a variant without bounds left with them.
const SETTLE_MS = 2000

/** 1.5 times capacity, most of it from one organisation. */
export const overload: Scenario = {
  variants: ['default', 'unbounded', 'plain'],
  roundMs: 5000,
  rounds: 3,
  summaryNames: ['modest in time %', 'goodput % of capacity'],
  async start (variant) {
    const contracts = [createBenchContract('lin-shun', { lookupDeadlineMs: DEADLINE_MS }), createBenchContract('almaskert', { lookupDeadlineMs: DEADLINE_MS })]
    const { cluster, front } = await startBenchCluster({
      entries: 4,
      contracts,
      services: { 'order-app': { kind: 'plain', count: 4, ...policyOptions[variant]!, flags: () => ({ 'service-time-ms': 50, capacity: 2 }) } }
    })
    return {
      async measureRound (random, durationMs) {
        const outcomes = await runLoad(front, [
          ...createArrivals(random, GREEDY_PER_SECOND, durationMs, index => createLookup(index, 'almaskert', 'greedy')),
          ...createArrivals(random, MODEST_PER_SECOND, durationMs, index => createLookup(index, 'lin-shun', 'modest'))
        ])
        await sleep(SETTLE_MS)
        const modest = outcomes.filter(({ label }) => label === 'modest')
        const inTime = modest.filter(isInTime).length
        return {
          'modest in time %': 100 * inTime / modest.length,
          'goodput % of capacity': 100 * outcomes.filter(isInTime).length * 1000 / durationMs / CAPACITY_PER_SECOND,
          ...summariseLatencies(outcomes)
        }
      },
      dispose: async () => await cluster.dispose()
    }
  }
}

function isInTime ({ isOk, latencyMs }: RequestOutcome): boolean {
  return isOk && latencyMs <= DEADLINE_MS
}
