import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { Emitter } from '../kernel/Emitter.js'
import type { ILeaseService } from '../lease/ILeaseService.js'
import type { Lease } from '../lease/Lease.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { StepTable } from '../training/step/StepTable.js'
import { FakeEngines } from '../training/test/FakeEngines.js'
import { MemoryLog } from '../training/test/MemoryLog.js'
import { fakes } from '../training/test/fakes.js'
import type { ServiceSettings } from '../settings/ServiceSettings.js'
import { WeightRollout } from './WeightRollout.js'

const MODEL = 'felt/brim'

/** Lease service that grants leases on demand and records the calls; a release is recorded with a leading `-`. */
class FakeLeases implements ILeaseService {
  readonly gained = new Emitter<Lease>()
  readonly lost = new Emitter<Lease>()
  readonly onGained = this.gained.event
  readonly onLost = this.lost.event
  readonly calls: string[] = []
  current?: Lease
  acquire (name: string): void { this.calls.push(name) }
  release (name: string): void { this.calls.push(`-${name}`) }
  held (): Lease | undefined { return this.current }
  dispose (): void {}

  gain (fence: number): void {
    this.current = { name: 'weights/llm', fence }
    this.gained.fire(this.current)
  }
}

interface Engine { version: number, loading: number, loadMs: number, bootId: string, error: string | null, readyAtMs: number, orderStatus?: number }

/** Advances the clock in steps of 50 ms, running pending callbacks after each. */
async function advanceTime (ms: number): Promise<void> {
  for (let elapsed = 0; elapsed < ms; elapsed += 50) {
    mock.timers.tick(50)
    for (let i = 0; i < 10; i++) await new Promise((resolve) => setImmediate(resolve))
  }
}

function setUp (ids: string[], change: Partial<ServiceSettings> = {}) {
  const log = new MemoryLog()
  const hub = log.hub()
  const table = new StepTable(fakes.hash, hub)
  const engines = new FakeEngines(Object.fromEntries(ids.map((id) => [id, []])))
  const states = new Map(ids.map((id): [string, Engine] => [id, { version: 0, loading: 0, loadMs: 1000, bootId: 'b', error: null, readyAtMs: 0 }]))
  const orders: { to: string, version: number, fence: number }[] = []
  let maxConcurrentLoads = 0
  engines.respond = (address, { path, body }) => {
    const state = states.get(address)!
    if (state.loading > 0 && Date.now() >= state.readyAtMs) {
      if (state.error === null) state.version = state.loading
      state.loading = 0
    }
    if (path === '/v1/state') {
      return { status: 200, body: { boot_id: state.bootId, versions: { [MODEL]: state.version }, loading: state.loading > 0 ? MODEL : null, last_error: state.error } }
    }
    const { value, fence } = JSON.parse(new TextDecoder().decode(body)) as { value: { version: number }, fence: number }
    orders.push({ to: address, version: value.version, fence })
    if (state.orderStatus !== undefined) return { status: state.orderStatus, body: {} }
    Object.assign(state, { loading: value.version, error: null, readyAtMs: Date.now() + state.loadMs })
    maxConcurrentLoads = Math.max(maxConcurrentLoads, [...states.values()].filter(({ loading, readyAtMs }) => loading > 0 && readyAtMs > Date.now()).length)
    return { status: 202, body: {} }
  }
  const leases = new FakeLeases()
  const services = [{ ...fakes.settings.services[0]!, ...change }]
  const settings = { ...fakes.settings, services } as EntrySettings
  const rollout = new WeightRollout(leases, table, fakes.contracts(), engines.table, engines.client, settings, fakes.logger)
  rollout.start()
  const announce = (version: number) => log.push({ type: 'weights', id: `w${version}`, organisation: 'felt', trainer: 'brim', version })
  return { engines, states, orders, leases, rollout, announce, maxConcurrentLoads: () => maxConcurrentLoads }
}

describe('WeightRollout', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
  })
  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('sends orders only while holding the lease, with its fencing token, and stops at once when it is lost', async () => {
    const { leases, orders, announce, rollout } = setUp(['a', 'b', 'c'])
    announce(1)
    await advanceTime(2000)
    expect(leases.calls).toEqual(['weights/llm'])
    expect(orders).toEqual([])
    leases.gain(7)
    await advanceTime(200)
    expect(orders.map(({ fence }) => fence)).toEqual([7])
    leases.lost.fire(leases.current!)
    await advanceTime(5000)
    expect(orders.length).toEqual(1)
    rollout.dispose()
  })

  it('checks the lease before each order, so that an expired lease stops it without an event', async () => {
    const { leases, orders, announce, rollout } = setUp(['a', 'b', 'c'])
    leases.gain(7)
    await advanceTime(200)
    leases.current = undefined
    announce(1)
    await advanceTime(5000)
    expect(orders).toEqual([])
    expect(leases.calls).toEqual(['weights/llm', '-weights/llm', 'weights/llm'])
    rollout.dispose()
  })

  it('loads on at most swapParallel engines at once and never on all of them', async () => {
    for (const [ids, swapParallel, expectedLoads] of [[['a', 'b', 'c', 'd', 'e'], 2, 2], [['a', 'b'], 4, 1]] as [string[], number, number][]) {
      const { leases, states, announce, maxConcurrentLoads, rollout } = setUp(ids, { swapParallel })
      leases.gain(1)
      announce(3)
      await advanceTime(8000)
      expect([...states.values()].map(({ version }) => version)).toEqual(ids.map(() => 3))
      expect(maxConcurrentLoads()).toEqual(expectedLoads)
      rollout.dispose()
    }
  })

  it('skips intermediate versions that appear while engines load', async () => {
    const { leases, orders, states, announce, rollout } = setUp(['a', 'b', 'c'])
    leases.gain(1)
    announce(1)
    await advanceTime(200)
    announce(2)
    announce(3)
    await advanceTime(8000)
    expect([...states.values()].map(({ version }) => version)).toEqual([3, 3, 3])
    expect(orders.map(({ version }) => version)).toEqual([1, 3, 3, 3])
    rollout.dispose()
  })

  it('retries an order that failed, was not accepted or had no effect, and detects a restarted engine', async () => {
    const { leases, orders, states, announce, rollout } = setUp(['a', 'b'])
    const a = states.get('a')!
    a.orderStatus = 503
    leases.gain(1)
    announce(2)
    await advanceTime(10_000)
    expect(states.get('b')?.version).toEqual(2)
    const attempts = orders.filter(({ to }) => to === 'a').length
    expect(attempts).toBeGreaterThan(2)
    expect(attempts).toBeLessThan(8)
    a.orderStatus = undefined
    await advanceTime(17_000)
    expect(a.version).toEqual(2)
    Object.assign(a, { version: 0, bootId: 'c' })
    await advanceTime(3000)
    expect(a.version).toEqual(2)
    rollout.dispose()
  })

  it('retries a load that fails midway, without waiting for the timeout', async () => {
    const { leases, states, announce, rollout } = setUp(['a', 'b'])
    leases.gain(1)
    announce(2)
    await advanceTime(300)
    const first = [...states.values()].find(({ loading }) => loading > 0)!
    first.error = 'weight store: 429'
    await advanceTime(7000)
    expect([...states.values()].map(({ version }) => version)).toEqual([2, 2])
    rollout.dispose()
  })

  // The engine would otherwise keep the older weights until the load times out after 30 s.
  it('retries a load that another order undid before the engine reported the version', async () => {
    const { leases, states, orders, announce, rollout } = setUp(['a'])
    leases.gain(1)
    announce(1)
    await advanceTime(100)
    expect(orders.length).toEqual(1)
    states.get('a')!.loading = 0
    await advanceTime(7000)
    expect(orders.length).toEqual(2)
    expect(states.get('a')!.version).toEqual(1)
    rollout.dispose()
  })

  it('does not let an engine that hangs while loading block the others', async () => {
    const { leases, states, announce, rollout } = setUp(['a', 'b', 'c'])
    states.get('a')!.loadMs = 1e9
    leases.gain(1)
    announce(2)
    await advanceTime(40_000)
    expect([...states.values()].map(({ version }) => version)).toEqual([0, 2, 2])
    rollout.dispose()
  })

  it('releases its lease when an engine rejects the fencing token', async () => {
    const { leases, orders, states, announce, rollout } = setUp(['a', 'b'])
    states.get('a')!.orderStatus = 409
    leases.gain(1)
    announce(2)
    await advanceTime(5000)
    expect(orders.length).toEqual(1)
    expect(leases.calls).toEqual(['weights/llm', '-weights/llm', 'weights/llm'])
    rollout.dispose()
  })

  it('sends orders only to listed addresses when engines do not check fencing tokens', async () => {
    const { leases, orders, announce, rollout } = setUp(['a', 'b', 'c'], { checksFence: false, orderAddresses: ['b'] })
    leases.gain(1)
    announce(2)
    await advanceTime(5000)
    expect(orders.map(({ to }) => to)).toEqual(['b'])
    rollout.dispose()
  })

  it('swaps engines that exceed the staleness bound first, then idle ones, then fast ones', async () => {
    const { engines, leases, orders, states, announce, rollout } = setUp(['busy', 'slow', 'fast', 'old'])
    const [busy, slow, , old] = engines.upstreams
    busy!.peerOutstanding = 5
    slow!.unitTimeMs = 50
    old!.outstanding = 9
    for (const id of ['busy', 'slow', 'fast']) states.get(id)!.version = 4
    leases.gain(1)
    announce(5)
    await advanceTime(8000)
    expect(orders.map(({ to }) => to)).toEqual(['old', 'fast', 'slow', 'busy'])
    rollout.dispose()
  })
})
