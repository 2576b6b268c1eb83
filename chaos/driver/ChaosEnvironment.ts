import { Cluster } from '../../tools/harness/Cluster.js'
import { readExampleContract } from '../../tools/harness/readExampleContract.js'
import type { StandIn } from '../../tools/harness/StandIn.js'
import { faultKinds } from './faultKinds.js'
import type { EnvironmentSize } from './EnvironmentSize.js'

const PROXIED_ROUTES: string[] = [...faultKinds.route_cut.targets, ...faultKinds.gossip_loss.targets.map(route => route.replace('/udp', ''))]
const TRAINER_FLAGS = { 'weights-every-ms': 2500, groups: 3, samples: 2, 'max-tokens': 48, 'train-ms': 100, ahead: 1 }

/** The system under test: all processes of a run. */
export class ChaosEnvironment {
  readonly groupsPerStep = TRAINER_FLAGS.groups
  readonly samplesPerGroup = TRAINER_FLAGS.samples
  private readonly _faultTargets: Map<string, StandIn>

  private constructor (
    readonly cluster: Cluster,
    readonly balancer: StandIn,
    readonly balancerAddress: string,
    readonly trainers: Array<{ process: StandIn, bound: number }>
  ) {
    const { log, membership, weights, upstreams } = cluster
    const platformTargets: Array<[string, StandIn]> = [['log', log], ['membership', membership], ['weights', weights], ['balancer', balancer]]
    this._faultTargets = new Map([...platformTargets, ...upstreams, ...trainers.map(({ process }): [string, StandIn] => [process.name, process])])
  }

  static async start (size: EnvironmentSize): Promise<ChaosEnvironment> {
    const engineFlags = () => ({ 'tokens-per-second': 100, capacity: 8 })
    const cluster = await Cluster.start({
      entries: size.entries,
      services: {
        'shaping-llm': { kind: 'engine', count: size.upstreams, flags: engineFlags, checksFence: true },
        mester: { kind: 'engine', count: size.upstreams, flags: engineFlags, checksFence: false },
        'order-app': { kind: 'plain', count: size.upstreams },
        kapu: { kind: 'plain', count: size.upstreams }
      },
      contracts: [await readExampleContract('lin-shun'), await readExampleContract('almaskert')],
      // Longer than the balancer's lag, as in production.
      timing: { drain_notice_ms: 1500 },
      isProxied: (from, to) => PROXIED_ROUTES.includes(`${from}>${to}`)
    })
    try {
      const { balancer, front } = await cluster.startBalancer()
      const trainers = await Promise.all([
        cluster.startTrainer('lin-shun', 'brim', TRAINER_FLAGS),
        cluster.startTrainer('almaskert', 'cellar-red', TRAINER_FLAGS),
        cluster.startTrainer('almaskert', 'cellar-white', { ...TRAINER_FLAGS, addresses: front })
      ])
      // Staleness bounds of the example contracts.
      const bounds = [2, 1, 2]
      return new ChaosEnvironment(cluster, balancer, front, trainers.map((process, index) => ({ process, bound: bounds[index]! })))
    } catch (error) {
      await cluster.dispose()
      throw error
    }
  }

  /** Replaces the active faults of a stand-in or of a route of the fault proxy. */
  async setFaults (target: string, fields: Record<string, unknown>): Promise<void> {
    const [from, to] = target.split('>')
    if (to === undefined) await this._faultTargets.get(target)!.setFaults(fields)
    else await this.cluster.route(from!, to).setFaults(fields)
  }
}
