import { readFile } from 'node:fs/promises'
import type { ManagedProcess } from '../../tools/harness/ManagedProcess.js'
import { createArrivals } from '../createArrivals.js'
import { summariseLatencies } from '../summariseLatencies.js'
import { createLookup } from '../createLookup.js'
import { runLoad } from '../runLoad.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'

const PER_SECOND = 300
// Jiffies of /proc/<pid>/stat; Linux reports 100 per second to user space.
const MS_PER_JIFFY = 10
const USER_TIME_FIELD = 11

/** Latency that an entry adds to a lookup, and requests per second and core of the entry. */
export const overhead: Scenario = {
  variants: ['entry', 'direct'],
  roundMs: 5000,
  rounds: 5,
  summaryNames: ['lookup p50 ms', 'lookup p99 ms'],
  async start (variant) {
    const { cluster } = await startBenchCluster({
      entries: 1,
      services: { 'order-app': { kind: 'plain', count: 2, flags: () => ({ 'service-time-ms': 5, capacity: 64 }) } }
    })
    const [entry] = cluster.entries
    return {
      async measureRound (random, durationMs) {
        const load = createArrivals(random, PER_SECOND, durationMs, createLookup)
        if (variant === 'direct') {
          const direct = load.map(arrival => ({ ...arrival, path: arrival.path.replace('/v1/services/order-app', '') }))
          return summariseLatencies(await runLoad(cluster.upstream('order-app-1').address, direct, { keepsConnections: true }))
        }
        const cpuBeforeMs = await cpuMs(entry!)
        const outcomes = await runLoad(entry!.listen, load, { keepsConnections: true })
        const usedMs = await cpuMs(entry!) - cpuBeforeMs
        return { ...summariseLatencies(outcomes), 'requests per core second': outcomes.length * 1000 / usedMs }
      },
      dispose: async () => await cluster.dispose()
    }
  }
}

/** Processor time that a process has used. */
async function cpuMs (process: ManagedProcess): Promise<number> {
  const stat = await readFile(`/proc/${process.pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1])) * MS_PER_JIFFY
}
