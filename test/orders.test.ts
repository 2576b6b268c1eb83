import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import type { StandIn } from '../tools/harness/StandIn.js'
import { TrainerClient } from '../tools/harness/TrainerClient.js'
import { createTrainingContract } from '../tools/harness/createTrainingContract.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 60_000
const ENGINES = 3
// The engines of the first service check fencing numbers, those of the second ignore them.
const services = [
  { name: 'shaping-llm', trainer: 'brim', checksFence: true },
  { name: 'mester', trainer: 'crown', checksFence: false }
]
const contract = `${createTrainingContract(1)}
[trainer.crown]
service = mester
staleness_versions = 1
step_deadline_s = 60
weights_every_s = 60
`

describe('leases and orders', { timeout: TIMEOUT_MS }, () => {
  let cluster: Cluster
  let version = 0

  before(async () => {
    cluster = await Cluster.start({
      entries: 3,
      services: Object.fromEntries(services.map(({ name, checksFence }) => [name, { kind: 'engine', count: ENGINES, checksFence, flags: () => ({ 'swap-ms': 30 }) }])),
      contracts: [contract],
      timing: { lease_ms: 1500, lease_guard_ms: 500 },
      weights: { 'load-rate': 10, 'load-ms': 20 },
      isProxied: (from, to) => from.startsWith('entry') && to === 'log'
    })
  })
  after(async () => await cluster.dispose())

  const enginesOf = (service: string): StandIn[] => Array.from({ length: ENGINES }, (_, index) => cluster.upstream(`${service}-${index + 1}`))
  const ordersOf = async (engine: StandIn): Promise<any[]> => (await engine.get('/orders')).orders

  /** The entry that gained the service's lease last, and its fencing number. */
  function holderOf (service: string): { entry: EntryProcess, fence: number } {
    const gained = cluster.entries.flatMap((entry) => entry.logs
      .filter((line) => line.includes('lease_gained') && line.includes(`weights/${service}`))
      .map((line) => ({ entry, fence: Number(/fence=(\d+)/.exec(line)?.[1]) })))
    return gained.sort((a, b) => b.fence - a.fence)[0]!
  }

  /** Puts a new version into the store; without `isAvailable` no engine can load it for now. */
  async function announce (via: EntryProcess, isAvailable = true) {
    version++
    for (const { trainer } of services) await cluster.weights.put(`/v1/weights/lin-shun/${trainer}/${version}`, {})
    await cluster.weights.setFaults({ outage: !isAvailable })
    for (const { trainer } of services) await new TrainerClient(trainer).announceVersion(via, version)
  }

  async function untilLoaded () {
    await waitUntil(`all engines run version ${version}`, async () => {
      const versions = await Promise.all(services.flatMap(({ name, trainer }) => enginesOf(name).map(async (engine) =>
        (await engine.get('/v1/state')).versions[`lin-shun/${trainer}`])))
      return versions.every((loaded) => loaded === version)
    })
  }

  // Guards against two entries that order at the same time, of which one does not know that its lease passed to the other.
  it('sends no order after a pause past the lease, and undoes a late order if engines ignore fencing numbers', async () => {
    await announce(cluster.entries[0]!)
    await untilLoaded()
    const old = services.map(({ name }) => ({ name, ...holderOf(name) }))
    const paused = new Set(old.map(({ entry }) => entry))
    const other = cluster.entries.find((entry) => !paused.has(entry))!
    // Loads fail, so that every holder has orders to send.
    await announce(other, false)
    for (const { name, fence } of old) {
      await waitUntil(`the holder for ${name} sends orders`, async () =>
        (await ordersOf(enginesOf(name)[0]!)).some(({ order }) => order.fence === fence && order.value.version === version))
    }
    for (const entry of paused) entry.pause()
    // Its own clock has to stop the old holder, because it cannot read that the lease is taken.
    for (const entry of paused) await cluster.route(entry.name, 'log').setFaults({ cut: true })
    for (const { name, fence } of old) {
      await waitUntil(`another entry sends orders to ${name}`, async () =>
        (await Promise.all(enginesOf(name).map(ordersOf))).every((orders) => orders.some(({ order }) => order.fence > fence)))
    }
    for (const entry of paused) entry.resume()
    for (const { name, entry, fence } of old) {
      await waitUntil(`the old holder for ${name} ends its rollout`, () =>
        entry.logs.some((line) => line.includes('lease_lost') && line.includes(name) && line.includes(`fence=${fence}`)))
    }
    await sleep(1000)
    for (const orders of await Promise.all(services.flatMap(({ name }) => enginesOf(name)).map(ordersOf))) {
      const fences = orders.map(({ order }) => order.fence as number)
      expect(fences).toEqual([...fences].sort((a, b) => a - b))
    }
    for (const entry of paused) await cluster.route(entry.name, 'log').setFaults()
    await cluster.weights.setFaults()
    await untilLoaded()
    await Promise.all(services.map(async ({ name, trainer, checksFence }, i) => {
      // An order of the old holder that was held up in the network arrives last.
      const value = { model: `lin-shun/${trainer}`, version: version - 1 }
      const late = { order_id: `late-${name}`, kind: 'load_version', value, fence: old[i]!.fence }
      const results = await Promise.allSettled(enginesOf(name).map(async (engine) => await engine.post('/v1/orders', late)))
      expect(results.map(({ status }) => status)).toEqual(new Array(ENGINES).fill(checksFence ? 'rejected' : 'fulfilled'))
      await waitUntil('the late order has ended', async () => (await Promise.all(enginesOf(name).map(ordersOf))).every((orders) =>
        orders.some(({ order, outcome }) => order.order_id === late.order_id && outcome !== 'pending')))
    }))
    await untilLoaded()
  })

  // Guards against an engine that is left behind after its load failed or was refused.
  it('brings all engines to the newest weights through failing swaps, a rate-limited store and a restart', async () => {
    const engines = services.flatMap(({ name }) => enginesOf(name))
    for (const engine of engines) await engine.setFaults({ fail_loads: 1 })
    for (let round = 0; round < 3; round++) await announce(cluster.entries[round]!)
    await cluster.weights.setFaults({ fail_loads: 3 })
    await engines[0]!.kill()
    await cluster.restart(engines[0]!)
    await untilLoaded()
    const outcomes = (await Promise.all(engines.map(ordersOf))).flat().map(({ outcome }) => outcome)
    expect(outcomes.filter((outcome) => outcome === 'failed').length).toBeGreaterThan(ENGINES)
    expect((await cluster.weights.get('/stats')).limited).toBeGreaterThan(0)
  })
})
