import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { CallRecorder } from '../tools/harness/CallRecorder.js'
import { createCallContract } from '../tools/harness/createCallContract.js'
import { Cluster } from '../tools/harness/Cluster.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 120_000
const KEYS_PER_CASE = 8
const TICKETS = 48
// Short enough that a key can be used again through another entry while the entry that claimed it is paused.
const KEY_WINDOW_S = 4

describe('calls that must not be repeated', { timeout: TIMEOUT_MS }, () => {
  const recorder = new CallRecorder('order-app')
  let cluster: Cluster
  const services = () => [...cluster.upstreams.values()]
  const entry = (index: number): EntryProcess => cluster.entries[index]!
  const createKeys = (name: string): string[] => Array.from({ length: KEYS_PER_CASE }, (_, n) => `${name}-${n}`)

  const clearFaults = async (): Promise<void> => {
    await Promise.all([cluster.log, ...services()].map(async standIn => await standIn.setFaults()))
    for (const entryProcess of cluster.entries) {
      await Promise.all([...services().map(service => service.name), 'log'].map(async to => await cluster.route(entryProcess.name, to).setFaults()))
      await waitUntil(`${entryProcess.name} runs tickets`, async () => (await recorder.call(entryProcess, { key: crypto.randomUUID() })).status === 200)
    }
  }

  /** Sends a ticket for each key through every entry, each `gapMs` after the previous one; with a short gap the repeats arrive before the first response. */
  const repeatThroughAllEntries = async (name: string, gapMs: number, deadlineMs = 3000) => {
    return await Promise.all(createKeys(name).flatMap(key => cluster.entries.map(async (target, index) => {
      await sleep(index * gapMs)
      return await recorder.call(target, { key, deadlineMs })
    })))
  }

  before(async () => {
    cluster = await Cluster.start({
      entries: 3,
      services: { 'order-app': { kind: 'plain', count: 2, flags: () => ({ 'load-lag-ms': 100, 'service-time-ms': 60 }) } },
      contracts: [createCallContract()],
      isProxied: (from, to) => from.startsWith('entry') && (to.startsWith('order-app') || to === 'log')
    })
  })
  after(async () => await cluster.dispose())

  it('runs a ticket once and returns its response to all repeats through other entries', async () => {
    for (const gapMs of [0, 15, 150]) {
      const responses = await repeatThroughAllEntries(`repeat-${gapMs}`, gapMs)
      expect(responses.map(response => response.status)).toEqual(Array(KEYS_PER_CASE * 3).fill(200))
      expect(responses.every(response => response.body.run === 1)).toEqual(true)
    }
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('appends two records for a ticket and shares appends between concurrent tickets', async () => {
    const stats = async (): Promise<{ appends: number, records: number }> => {
      const { appends, streams } = await cluster.log.get('/stats')
      return { appends, records: streams.claims.next_offset }
    }
    for (const [name, concurrency] of [['alone', 1], ['together', 24]] as const) {
      const before = await stats()
      for (let n = 0; n < TICKETS; n += concurrency) {
        await Promise.all(Array.from({ length: concurrency }, async (_, index) => await recorder.call(entry(index % 3), { key: `${name}-${n + index}` })))
      }
      const settled = await waitUntil('all results are in the log', async () => {
        const now = await stats()
        return now.records >= before.records + 2 * TICKETS ? now : undefined
      })
      console.log(`${name}: ${(settled.appends - before.appends) / TICKETS} appends for each ticket`)
      expect(settled.records - before.records).toEqual(2 * TICKETS)
      if (concurrency > 1) expect(settled.appends - before.appends).toBeLessThan(2 * TICKETS)
    }
  })

  it('refuses a key that is reused with a different body, and runs nothing', async () => {
    await recorder.call(entry(0), { key: 'body' })
    const response = await recorder.call(entry(1), { key: 'body', body: 'another hood' })
    expect([response.status, response.kind, response.outcome]).toEqual([422, 'claim_body_differs', 'not_run'])
    expect((await recorder.fetchRuns(services())).filter(run => run.key === 'body').length).toEqual(1)
  })

  it('runs a ticket once when its response, responses of the log or both are lost', async () => {
    for (const [name, fault] of [
      ['answer-lost', async () => await Promise.all(services().map(async service => await service.setFaults({ reset_before_answer: KEYS_PER_CASE })))],
      ['append-lost', async () => await cluster.log.setFaults({ lose_append_answers: 6 })],
      ['log-slow', async () => await cluster.log.setFaults({ slow_ms: 250 })],
      ['log-cut', async () => await cluster.route('entry-1', 'log').setFaults({ one_way_cut: 'to_client' })],
      ['both-lost', async () => {
        await cluster.log.setFaults({ lose_append_answers: 6, slow_ms: 80 })
        await Promise.all(cluster.entries.flatMap(entryProcess => services().map(async service => await cluster.route(entryProcess.name, service.name).setFaults({ drop_answers: 2 }))))
      }]
    ] as const) {
      const startedAtMs = performance.now()
      await fault()
      await repeatThroughAllEntries(name, 40, 1500)
      // Terminates the reads whose responses were discarded; they would otherwise wait for their time-out.
      await cluster.route('entry-1', 'log').setFaults({ reset: true })
      await clearFaults()
      await Promise.all(createKeys(name).map(async (key, n) => await recorder.call(entry(n % 3), { key, deadlineMs: 500 })))
      console.log(name, `${Math.round(performance.now() - startedAtMs)} ms`, recorder.countOutcomes())
    }
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('runs a ticket once when the log fails and recovers while tickets are in flight', async () => {
    const calls = createKeys('outage').map(async (key, n) => {
      await sleep(n * 30)
      return await recorder.call(entry(n % 3), { key, deadlineMs: 2000 })
    })
    await sleep(100)
    await cluster.log.setFaults({ outage: true })
    await Promise.all(calls)
    const repeats = createKeys('outage').map(async (key, n) => await recorder.call(entry((n + 1) % 3), { key, deadlineMs: 4000 }))
    await sleep(300)
    await clearFaults()
    await Promise.all(repeats)
    await Promise.all(createKeys('outage').map(async (key, n) => await recorder.call(entry((n + 2) % 3), { key, deadlineMs: 3000 })))
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('runs a ticket once when the entry that claimed it is killed at different moments', async () => {
    for (const killAfterMs of [0, 8, 18, 35, 80]) {
      const victim = entry(0)
      const name = `killed-${killAfterMs}`
      const first = Promise.all(createKeys(name).map(async key => await recorder.call(victim, { key, deadlineMs: 1500 })))
      await sleep(killAfterMs)
      await victim.kill()
      const restarted = cluster.restart(victim)
      await Promise.all(createKeys(name).map(async (key, n) => await recorder.call(entry(1 + n % 2), { key, deadlineMs: 400 })))
      await Promise.all([first, restarted])
      await waitUntil('the entry is ready again', async () => await victim.fetchReadinessStatus() === 200)
      // The restarted process of the entry must not act on claims of its predecessor.
      await Promise.all(createKeys(name).map(async (key, n) => await recorder.call(entry(n % 3), { key, deadlineMs: 300 })))
    }
    console.log(recorder.countOutcomes())
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('does not send a call whose claim expired while the entry was paused', async () => {
    await cluster.publishContract(createCallContract({ key_window_s: KEY_WINDOW_S, max_in_flight: 2 }, 2000, KEY_WINDOW_S * 1000 - 100))
    await waitUntil('the contract is in force', async () => await readKeyWindowInForce() === KEY_WINDOW_S)
    await Promise.all(services().map(async service => await service.setFaults({ slow_factor: 10 })))
    const claimedCalls = createKeys('paused').map(async key => await recorder.call(entry(0), { key }))
    // The claims are won by now; most of the calls are queued because of `max_in_flight`.
    await sleep(300)
    // These claims are appended while the entry is paused.
    await cluster.log.setFaults({ slow_ms: 400 })
    const pendingClaimCalls = createKeys('undecided').map(async key => await recorder.call(entry(0), { key }))
    await sleep(200)
    entry(0).pause()
    await cluster.log.setFaults()
    const executedKeys = new Set((await recorder.fetchRuns(services())).map(run => run.key))
    await sleep(KEY_WINDOW_S * 1000 + 500)
    await Promise.all(services().map(async service => await service.setFaults()))
    const waitingKeys = [...createKeys('paused'), ...createKeys('undecided')].filter(key => !executedKeys.has(key))
    const repeats = await Promise.all(waitingKeys.map(async key => await recorder.call(entry(1), { key })))
    entry(0).resume()
    const responses = await Promise.all([...claimedCalls, ...pendingClaimCalls])
    console.log(repeats.map(response => response.status), responses.map(response => `${response.status} ${response.kind}`))
    expect(responses.some(response => response.outcome === 'not_run')).toEqual(true)
    expect(await recorder.findViolations(services())).toEqual([])
  })

  const readKeyWindowInForce = async (): Promise<number> => {
    const responses = await Promise.all(cluster.entries.map(async entryProcess => await (await fetch(`http://${entryProcess.listen}/admin/v1/contracts/lin-shun`, {
      headers: { authorization: 'Bearer operator-mei-token' }
    })).text()))
    const windows = responses.map(text => Number(/key_window_s\D+(\d+)/.exec(text)?.[1]))
    return windows.every(window => window === windows[0]) ? windows[0]! : 0
  }
})
