import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { CallRecorder } from '../tools/harness/CallRecorder.js'
import { createCallContract } from '../tools/harness/createCallContract.js'
import { Cluster } from '../tools/harness/Cluster.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 120_000
const STORM_MS = 4000
const FAULT_MS = 120
const CALLERS = 24
const REFUSED_PAUSE_MS = 20
// Section 5.14 of the design page.
const HEDGE_PART = 0.05
const SEED = Number(process.env['TEST_SEED'] ?? Date.now() % 1_000_000)

/** Numbers from 0 up to 1 that a seed determines (a linear congruential generator). */
function seeded (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

const SERVICE_FAULTS = [
  { truncate: 3 }, { close_delimited: 3 }, { swap_answers: true }, { reset_before_answer: 3 }, { slow_factor: 20 }, { reject_503: 1 }, {}
]
const ROUTE_FAULTS = [
  { freeze: true }, { throttle_bytes_per_s: 20_000 }, { drop_answers: 3 }, { reset: true }, { cut: true },
  { one_way_cut: 'to_target' }, { one_way_cut: 'to_client' }, { half_close: true }, { delay_ms: 40 }, {}
]

describe('lookups and refusals under faults', { timeout: TIMEOUT_MS }, () => {
  const book = new CallRecorder('order-app')
  let cluster: Cluster
  const services = () => [...cluster.upstreams.values()]
  const routes = () => cluster.entries.flatMap(entry => services().map(service => cluster.route(entry.name, service.name)))

  const clear = async (): Promise<void> => {
    await Promise.all([cluster.log, ...services()].map(async item => await item.setFaults()))
    await Promise.all(routes().map(async route => await route.setFaults()))
    await Promise.all(cluster.entries.map(async entry => await waitUntil('all upstreams answer', async () => {
      const answers = await Promise.all(Array.from({ length: 8 }, async (_, n) => await book.call(entry, { path: `/orders/clear-${n}` })))
      // The appender of the entry may still be in a pause between retries.
      const ticket = await book.call(entry, { key: crypto.randomUUID() })
      return [...answers, ticket].every(answer => answer.status === 200)
    })))
  }

  before(async () => {
    cluster = await Cluster.start({
      entries: 2,
      services: { 'order-app': { kind: 'plain', count: 3, flags: () => ({ 'load-lag-ms': 100, capacity: 4 }) } },
      contracts: [createCallContract()],
      isProxied: (from, to) => from.startsWith('entry') && to.startsWith('order-app')
    })
  })
  after(async () => await cluster.dispose())

  // Runs first: after the storm the 95th percentile, and with it the time until a hedge, would be that of the faults.
  it('hedges within its budget and gives each of a pair its own answer', async () => {
    const entry = cluster.entries[1]!
    const lookUp = async (name: string) => await Promise.all([0, 1, 2, 3].map(async turn => await book.call(entry, { path: `/orders/${name}-${turn}` })))
    const hedges = async (): Promise<number> => {
      const text = await (await fetch(`http://${entry.listen}/metrics`)).text()
      return Number(/hyssopvalve_hedges_total\{[^}]*\} (\d+)/.exec(text)?.[1] ?? 0)
    }
    for (let n = 0; n < 25; n++) await lookUp(`fast-${n}`)
    await services()[0]!.setFaults({ slow_factor: 50 })
    for (let n = 0; n < 400 && await hedges() < 3; n++) await lookUp(`hedge-${n}`)
    const [seen, limit] = [await hedges(), 1 + HEDGE_PART * book.calls.length]
    await clear()
    expect(seen).toBeGreaterThan(2)
    expect(seen).toBeLessThanOrEqual(Math.ceil(limit))
    expect(await book.findViolations(services())).toEqual([])
  })

  it('answers every lookup with the whole answer to itself while routes and services fail', async () => {
    const random = seeded(SEED)
    const pick = <T>(items: T[]): T => items[Math.floor(random() * items.length)]!
    const endMs = performance.now() + STORM_MS
    const storm = async (): Promise<void> => {
      while (performance.now() < endMs) {
        await pick(services()).setFaults(pick(SERVICE_FAULTS))
        await pick(routes()).setFaults(pick(ROUTE_FAULTS))
        await sleep(FAULT_MS)
      }
    }
    const caller = async (caller: number): Promise<void> => {
      for (let n = 0; performance.now() < endMs; n++) {
        // Long answers are throttled in the middle.
        const path = `/orders/${caller}-${n}-${'x'.repeat(n % 3 * 1000)}`
        const { status } = await book.call(cluster.entries[caller % 2]!, { path })
        if (status !== 200) await sleep(REFUSED_PAUSE_MS)
      }
    }
    await Promise.all([storm(), ...Array.from({ length: CALLERS }, async (_, n) => await caller(n))])
    const seen = book.countOutcomes()
    console.log(`seed ${SEED}`, seen)
    await clear()
    expect({ seed: SEED, faults: await book.findViolations(services()) }).toEqual({ seed: SEED, faults: [] })
    expect(seen['200'] ?? 0).toBeGreaterThan(CALLERS)
  })

  it('does not take truncated, close-delimited or swapped answers of the only services left', async () => {
    for (const fault of [{ truncate: 99 }, { close_delimited: 99 }, { swap_answers: true }]) {
      const name = Object.keys(fault)[0]!
      await Promise.all(services().map(async service => await service.setFaults(fault)))
      const answers = []
      for (let n = 0; n < 6; n++) answers.push(await book.call(cluster.entries[0]!, { path: `/orders/${name}-${n}` }))
      const isWhole = answers.map(answer => answer.status === 200)
      // A service that has no earlier answer to swap with gives the right one.
      if (name !== 'swap_answers') expect(isWhole).toEqual(Array(6).fill(false))
      expect(answers.some(answer => answer.outcome === 'unknown')).toEqual(true)
      await clear()
    }
    console.log(book.countOutcomes())
    expect(await book.findViolations(services())).toEqual([])
  })

  it('refuses tickets as not_run only when none ran', async () => {
    const [entry] = cluster.entries
    const send = async (name: string, deadlineMs = 1500) =>
      await Promise.all([0, 1, 2, 3].map(async n => await book.call(entry!, { key: `${name}-${n}`, deadlineMs })))
    const outcomes = new Map<string, Set<string>>()
    const under = async (name: string, faults: () => Promise<unknown>, deadlineMs?: number) => {
      await faults()
      const answers = await send(name, deadlineMs)
      outcomes.set(name, new Set(answers.map(answer => answer.outcome ?? String(answer.status))))
      await clear()
    }
    const onRoutes = (faults: object) => async () => await Promise.all(routes().map(async route => await route.setFaults({ ...faults })))
    const onServices = (faults: object) => async () => await Promise.all(services().map(async item => await item.setFaults({ ...faults })))
    await under('refused', onRoutes({ cut: true }))
    await under('reset-on-connect', onRoutes({ reset: true }))
    await under('reset-after-run', onServices({ reset_before_answer: 9 }))
    await under('answer-dropped', onRoutes({ drop_answers: 9 }))
    await under('to-target', onRoutes({ one_way_cut: 'to_target' }), 400)
    await under('to-client', onRoutes({ one_way_cut: 'to_client' }), 400)
    await under('frozen-service', onServices({ freeze: true }), 400)
    await under('service-503', onServices({ reject_503: 9 }))
    await under('log-outage', async () => await cluster.log.setFaults({ outage: true }), 3000)
    await under('log-refuses', async () => await cluster.log.setFaults({ refuse_appends: true }), 800)
    await under('log-slow', async () => await cluster.log.setFaults({ slow_ms: 600 }), 500)
    console.log(outcomes)
    expect(await book.findViolations(services())).toEqual([])
    const only = (name: string) => [...outcomes.get(name)!]
    expect(only('refused')).toEqual(['not_run'])
    expect(only('reset-after-run')).toEqual(['unknown'])
    expect(only('answer-dropped')).toEqual(['unknown'])
    expect(only('to-client')).toInclude('unknown')
    expect(only('to-client')).not.toInclude('200')
    expect(only('service-503')).toEqual(['503'])
    expect(only('log-outage')).toEqual(['not_run'])
    expect(only('log-refuses')).toEqual(['not_run'])
    expect(only('log-slow')).toEqual(['not_run'])
    // Refused claims are free again: the caller's repeat runs.
    for (const key of ['refused-0', 'log-outage-1', 'log-refuses-2', 'log-slow-0', 'log-slow-3']) {
      await waitUntil(`${key} runs`, async () => (await book.call(cluster.entries[1]!, { key })).status === 200)
    }
    expect(await book.findViolations(services())).toEqual([])
  })

  it('refuses what exceeds the queue as not_run, and what leaves the queue at its deadline', async () => {
    const [entry] = cluster.entries
    await cluster.publishContract(createCallContract({ max_in_flight: 48, max_queue: 2 }))
    await waitUntil('tickets run', async () => (await book.call(entry!, { key: 'queue-first' })).status === 200)
    await Promise.all(services().map(async service => await service.setFaults({ freeze: true })))
    const calls = Array.from({ length: 80 }, async (_, n) => await book.call(entry!, { key: `queue-${n}`, deadlineMs: 1200 }))
    const answers = await Promise.all(calls)
    await clear()
    const kinds = new Set(answers.map(answer => `${answer.kind}/${answer.outcome}`))
    expect(kinds.has('queue_full/not_run')).toEqual(true)
    expect(kinds.has('timeout/unknown')).toEqual(true)
    expect(await book.findViolations(services())).toEqual([])
  })
})
