import type { ClusterOptions } from '../tools/harness/ClusterOptions.js'
import { Cluster } from '../tools/harness/Cluster.js'
import { createBenchContract } from './createBenchContract.js'

// The contracts name both services, so every cluster has them.
const SERVICES = { 'order-app': { kind: 'plain', count: 1 }, 'shaping-llm': { kind: 'engine', count: 1 } } as const

/** A cluster with the timing of production rather than that of tests, and a balancer in front of its entries. */
export async function startBenchCluster (options: Omit<ClusterOptions, 'contracts'> & { contracts?: string[], targets?: readonly number[] }): Promise<{ cluster: Cluster, front: string, setTargets: (indexes: readonly number[]) => Promise<void> }> {
  const { targets, ...rest } = options
  const cluster = await Cluster.start({
    contracts: [createBenchContract('lin-shun'), createBenchContract('almaskert')],
    ...rest,
    services: { ...SERVICES, ...rest.services },
    timing: { load_poll_ms: 500, gossip_interval_ms: 400, append_interval_ms: 50, ...rest.timing }
  })
  try {
    const { balancer, front } = await cluster.startBalancer()
    const setTargets = async (indexes: readonly number[]): Promise<void> => {
      await balancer.put('/targets', { targets: indexes.map(index => cluster.entries[index]!.listen) })
    }
    if (targets !== undefined) await setTargets(targets)
    return { cluster, front, setTargets }
  } catch (error) {
    await cluster.dispose()
    throw error
  }
}
