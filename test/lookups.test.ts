import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { CallRecorder } from '../tools/harness/CallRecorder.js'
import { createCallContract } from '../tools/harness/createCallContract.js'
import { Cluster } from '../tools/harness/Cluster.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 120_000
const FAULT_PHASE_MS = 4000
const FAULT_INTERVAL_MS = 120
const CALLERS = 24
const MAX_STATUS = 599
const RETRY_DELAY_MS = 20
// Budget of hedges, section 5.14 of the design page.
const MAX_HEDGE_SHARE = 0.05
const SEED = Number(process.env['TEST_SEED'] ?? Date.now() % 1_000_000)

/** Seeded random numbers from 0 up to 1 (a linear congruential generator). */
function createRandom (seed: number): () => number {
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
  const recorder = new CallRecorder('order-app')
  let cluster: Cluster
  const services = () => [...cluster.upstreams.values()]
  const routes = () => cluster.entries.flatMap(entry => services().map(service => cluster.route(entry.name, service.name)))

  const clearFaults = async (): Promise<void> => {
    await Promise.all([cluster.log, ...services()].map(async standIn => await standIn.setFaults()))
    await Promise.all(routes().map(async route => await route.setFaults()))
    await Promise.all(cluster.entries.map(async entry => await waitUntil('all upstreams respond', async () => {
      const responses = await Promise.all(Array.from({ length: 8 }, async (_, n) => await recorder.call(entry, { path: `/orders/clear-${n}` })))
      // The log appender of the entry may still be in a retry back-off.
      const ticket = await recorder.call(entry, { key: crypto.randomUUID() })
      return [...responses, ticket].every(response => response.status === 200)
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

  // Runs first: after the fault injection, the faults would determine the 95th percentile and with it the time until a hedge.
  it('hedges within its budget and gives each lookup its own response', async () => {
    const entry = cluster.entries[1]!
    const callLookups = async (name: string) => await Promise.all([0, 1, 2, 3].map(async index => await recorder.call(entry, { path: `/orders/${name}-${index}` })))
    const readHedgeCount = async (): Promise<number> => {
      const text = await (await fetch(`http://${entry.listen}/metrics`)).text()
      return Number(/hyssopvalve_hedges_total\{[^}]*\} (\d+)/.exec(text)?.[1] ?? 0)
    }
    for (let n = 0; n < 25; n++) await callLookups(`fast-${n}`)
    await services()[0]!.setFaults({ slow_factor: 50 })
    for (let n = 0; n < 400 && await readHedgeCount() < 3; n++) await callLookups(`hedge-${n}`)
    const [hedgeCount, limit] = [await readHedgeCount(), 1 + MAX_HEDGE_SHARE * recorder.calls.length]
    await clearFaults()
    expect(hedgeCount).toBeGreaterThan(2)
    expect(hedgeCount).toBeLessThanOrEqual(Math.ceil(limit))
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('gives a lookup only its own complete response while routes and services fail', async () => {
    const random = createRandom(SEED)
    const pick = <T>(items: T[]): T => items[Math.floor(random() * items.length)]!
    const endMs = performance.now() + FAULT_PHASE_MS
    const injectFaults = async (): Promise<void> => {
      while (performance.now() < endMs) {
        await pick(services()).setFaults(pick(SERVICE_FAULTS))
        await pick(routes()).setFaults(pick(ROUTE_FAULTS))
        await sleep(FAULT_INTERVAL_MS)
      }
    }
    const runCaller = async (caller: number): Promise<void> => {
      for (let n = 0; performance.now() < endMs; n++) {
        // Long paths give long responses, which are throttled in the middle.
        const path = `/orders/${caller}-${n}-${'x'.repeat(n % 3 * 1000)}`
        const { status } = await recorder.call(cluster.entries[caller % 2]!, { path })
        if (status !== 200) await sleep(RETRY_DELAY_MS)
      }
    }
    await Promise.all([injectFaults(), ...Array.from({ length: CALLERS }, async (_, n) => await runCaller(n))])
    const outcomeCounts = recorder.countOutcomes()
    console.log(`seed ${SEED}`, outcomeCounts)
    await clearFaults()
    expect({ seed: SEED, faults: await recorder.findViolations(services()) }).toEqual({ seed: SEED, faults: [] })
    expect(outcomeCounts['200'] ?? 0).toBeGreaterThan(CALLERS)
  })

  it('does not accept truncated, close-delimited or swapped responses, or such with an invalid status, when all services send them', async () => {
    for (const fault of [{ truncate: 99 }, { close_delimited: 99 }, { status_000: 99 }, { status_600: 99 }, { swap_answers: true }]) {
      const name = Object.keys(fault)[0]!
      await Promise.all(services().map(async service => await service.setFaults(fault)))
      const responses = []
      for (let n = 0; n < 6; n++) responses.push(await recorder.call(cluster.entries[0]!, { path: `/orders/${name}-${n}` }))
      const isComplete = responses.map(response => response.status === 200)
      // A service that has no earlier response to swap with sends the right one.
      if (name !== 'swap_answers') expect(isComplete).toEqual(Array(6).fill(false))
      expect(responses.some(response => response.outcome === 'unknown')).toEqual(true)
      expect(responses.filter(response => response.status > MAX_STATUS)).toEqual([])
      await clearFaults()
    }
    console.log(recorder.countOutcomes())
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('refuses tickets as not_run only if none ran', async () => {
    const [entry] = cluster.entries
    const send = async (name: string, deadlineMs = 1500) =>
      await Promise.all([0, 1, 2, 3].map(async n => await recorder.call(entry!, { key: `${name}-${n}`, deadlineMs })))
    const outcomes = new Map<string, Set<string>>()
    const runUnderFaults = async (name: string, faults: () => Promise<unknown>, deadlineMs?: number) => {
      await faults()
      const responses = await send(name, deadlineMs)
      outcomes.set(name, new Set(responses.map(response => response.outcome ?? String(response.status))))
      await clearFaults()
    }
    const onRoutes = (faults: object) => async () => await Promise.all(routes().map(async route => await route.setFaults({ ...faults })))
    const onServices = (faults: object) => async () => await Promise.all(services().map(async service => await service.setFaults({ ...faults })))
    await runUnderFaults('refused', onRoutes({ cut: true }))
    await runUnderFaults('reset-on-connect', onRoutes({ reset: true }))
    await runUnderFaults('reset-after-run', onServices({ reset_before_answer: 9 }))
    await runUnderFaults('answer-dropped', onRoutes({ drop_answers: 9 }))
    await runUnderFaults('to-target', onRoutes({ one_way_cut: 'to_target' }), 400)
    await runUnderFaults('to-client', onRoutes({ one_way_cut: 'to_client' }), 400)
    await runUnderFaults('frozen-service', onServices({ freeze: true }), 400)
    await runUnderFaults('service-503', onServices({ reject_503: 9 }))
    await runUnderFaults('log-outage', async () => await cluster.log.setFaults({ outage: true }), 3000)
    await runUnderFaults('log-refuses', async () => await cluster.log.setFaults({ refuse_appends: true }), 800)
    await runUnderFaults('log-slow', async () => await cluster.log.setFaults({ slow_ms: 600 }), 500)
    console.log(outcomes)
    expect(await recorder.findViolations(services())).toEqual([])
    const outcomesOf = (name: string) => [...outcomes.get(name)!]
    expect(outcomesOf('refused')).toEqual(['not_run'])
    expect(outcomesOf('reset-after-run')).toEqual(['unknown'])
    expect(outcomesOf('answer-dropped')).toEqual(['unknown'])
    expect(outcomesOf('to-client')).toInclude('unknown')
    expect(outcomesOf('to-client')).not.toInclude('200')
    expect(outcomesOf('service-503')).toEqual(['503'])
    expect(outcomesOf('log-outage')).toEqual(['not_run'])
    expect(outcomesOf('log-refuses')).toEqual(['not_run'])
    expect(outcomesOf('log-slow')).toEqual(['not_run'])
    // The claims of refused tickets are released: a repeat by the caller runs.
    for (const key of ['refused-0', 'log-outage-1', 'log-refuses-2', 'log-slow-0', 'log-slow-3']) {
      await waitUntil(`${key} runs`, async () => (await recorder.call(cluster.entries[1]!, { key })).status === 200)
    }
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('refuses calls beyond the queue limit as not_run, and reports calls that reach their deadline as unknown', async () => {
    const [entry] = cluster.entries
    await cluster.publishContract(createCallContract({ max_in_flight: 48, max_queue: 2 }))
    await waitUntil('tickets run', async () => (await recorder.call(entry!, { key: 'queue-first' })).status === 200)
    await Promise.all(services().map(async service => await service.setFaults({ freeze: true })))
    const calls = Array.from({ length: 80 }, async (_, n) => await recorder.call(entry!, { key: `queue-${n}`, deadlineMs: 1200 }))
    const responses = await Promise.all(calls)
    await clearFaults()
    const kinds = new Set(responses.map(response => `${response.kind}/${response.outcome}`))
    expect(kinds.has('queue_full/not_run')).toEqual(true)
    expect(kinds.has('timeout/unknown')).toEqual(true)
    expect(await recorder.findViolations(services())).toEqual([])
  })
})
