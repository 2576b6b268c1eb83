import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { CallRecorder } from '../tools/harness/CallRecorder.js'
import { createCallContract } from '../tools/harness/createCallContract.js'
import { Cluster } from '../tools/harness/Cluster.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 120_000
const BATCH = 8
const TICKETS = 48
// Short enough that a paused entry can be overtaken by a later use of the key.
const KEY_WINDOW_S = 4

describe('calls that must not be repeated', { timeout: TIMEOUT_MS }, () => {
  const book = new CallRecorder('order-app')
  let cluster: Cluster
  const services = () => [...cluster.upstreams.values()]
  const entry = (index: number): EntryProcess => cluster.entries[index]!
  const keys = (name: string): string[] => Array.from({ length: BATCH }, (_, n) => `${name}-${n}`)

  const clear = async (): Promise<void> => {
    await Promise.all([cluster.log, ...services()].map(async item => await item.setFaults()))
    for (const item of cluster.entries) {
      await Promise.all([...services().map(service => service.name), 'log'].map(async to => await cluster.route(item.name, to).setFaults()))
      await waitUntil(`${item.name} runs tickets`, async () => (await book.call(item, { key: crypto.randomUUID() })).status === 200)
    }
  }

  /** Sends each key through the first entry and, before its answer, again through the others. */
  const repeatEverywhere = async (name: string, gapMs: number, deadlineMs = 3000) => {
    return await Promise.all(keys(name).flatMap(key => cluster.entries.map(async (target, index) => {
      await sleep(index * gapMs)
      return await book.call(target, { key, deadlineMs })
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

  it('runs a ticket once and gives its answer to all repeats through other entries', async () => {
    for (const gapMs of [0, 15, 150]) {
      const answers = await repeatEverywhere(`repeat-${gapMs}`, gapMs)
      expect(answers.map(answer => answer.status)).toEqual(Array(BATCH * 3).fill(200))
      expect(answers.every(answer => answer.body.run === 1)).toEqual(true)
    }
    expect(await book.findViolations(services())).toEqual([])
  })

  it('appends two records for a ticket and shares appends between concurrent tickets', async () => {
    const stats = async (): Promise<{ appends: number, records: number }> => {
      const { appends, streams } = await cluster.log.get('/stats')
      return { appends, records: streams.claims.next_offset }
    }
    for (const [name, concurrency] of [['alone', 1], ['together', 24]] as const) {
      const before = await stats()
      for (let n = 0; n < TICKETS; n += concurrency) {
        await Promise.all(Array.from({ length: concurrency }, async (_, turn) => await book.call(entry(turn % 3), { key: `${name}-${n + turn}` })))
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

  it('refuses a key with another body and runs nothing', async () => {
    await book.call(entry(0), { key: 'body' })
    const answer = await book.call(entry(1), { key: 'body', body: 'another hood' })
    expect([answer.status, answer.kind, answer.outcome]).toEqual([422, 'claim_body_differs', 'not_run'])
    expect((await book.fetchRuns(services())).filter(run => run.key === 'body').length).toEqual(1)
  })

  it('runs a ticket once when its answer or the answers of the log are lost, also together', async () => {
    for (const [name, fault] of [
      ['answer-lost', async () => await Promise.all(services().map(async item => await item.setFaults({ reset_before_answer: BATCH })))],
      ['append-lost', async () => await cluster.log.setFaults({ lose_append_answers: 6 })],
      ['log-slow', async () => await cluster.log.setFaults({ slow_ms: 250 })],
      ['log-cut', async () => await cluster.route('entry-1', 'log').setFaults({ one_way_cut: 'to_client' })],
      ['both-lost', async () => {
        await cluster.log.setFaults({ lose_append_answers: 6, slow_ms: 80 })
        await Promise.all(cluster.entries.flatMap(item => services().map(async service => await cluster.route(item.name, service.name).setFaults({ drop_answers: 2 }))))
      }]
    ] as const) {
      const startedAtMs = performance.now()
      await fault()
      await repeatEverywhere(name, 40, 1500)
      // Ends the reads whose answers were discarded; they would otherwise wait for their time-out.
      await cluster.route('entry-1', 'log').setFaults({ reset: true })
      await clear()
      await Promise.all(keys(name).map(async (key, n) => await book.call(entry(n % 3), { key, deadlineMs: 500 })))
      console.log(name, `${Math.round(performance.now() - startedAtMs)} ms`, book.countOutcomes())
    }
    expect(await book.findViolations(services())).toEqual([])
  })

  it('runs a ticket once when the log goes away and returns in the middle', async () => {
    const calls = keys('outage').map(async (key, n) => {
      await sleep(n * 30)
      return await book.call(entry(n % 3), { key, deadlineMs: 2000 })
    })
    await sleep(100)
    await cluster.log.setFaults({ outage: true })
    await Promise.all(calls)
    const repeats = keys('outage').map(async (key, n) => await book.call(entry((n + 1) % 3), { key, deadlineMs: 4000 }))
    await sleep(300)
    await clear()
    await Promise.all(repeats)
    await Promise.all(keys('outage').map(async (key, n) => await book.call(entry((n + 2) % 3), { key, deadlineMs: 3000 })))
    expect(await book.findViolations(services())).toEqual([])
  })

  it('runs a ticket once when the entry that claimed it is killed at any moment', async () => {
    for (const killAfterMs of [0, 8, 18, 35, 80]) {
      const victim = entry(0)
      const name = `killed-${killAfterMs}`
      const first = Promise.all(keys(name).map(async key => await book.call(victim, { key, deadlineMs: 1500 })))
      await sleep(killAfterMs)
      await victim.kill()
      const restarted = cluster.restart(victim)
      await Promise.all(keys(name).map(async (key, n) => await book.call(entry(1 + n % 2), { key, deadlineMs: 400 })))
      await Promise.all([first, restarted])
      await waitUntil('the entry is ready again', async () => await victim.fetchReadinessStatus() === 200)
      // The new process of the entry must not act on claims of its predecessor.
      await Promise.all(keys(name).map(async (key, n) => await book.call(entry(n % 3), { key, deadlineMs: 300 })))
    }
    console.log(book.countOutcomes())
    expect(await book.findViolations(services())).toEqual([])
  })

  it('does not send a call whose claim became too old while the entry was paused', async () => {
    await cluster.publishContract(createCallContract({ key_window_s: KEY_WINDOW_S, max_in_flight: 2 }, 2000, KEY_WINDOW_S * 1000 - 100))
    await waitUntil('the contract is in force', async () => await inForce() === KEY_WINDOW_S)
    await Promise.all(services().map(async service => await service.setFaults({ slow_factor: 10 })))
    const held = keys('paused').map(async key => await book.call(entry(0), { key }))
    // The claims are won; most of the calls wait behind `max_in_flight`.
    await sleep(300)
    // These claims land while the entry is paused.
    await cluster.log.setFaults({ slow_ms: 400 })
    const undecided = keys('undecided').map(async key => await book.call(entry(0), { key }))
    await sleep(200)
    entry(0).pause()
    await cluster.log.setFaults()
    const ranKeys = new Set((await book.fetchRuns(services())).map(run => run.key))
    await sleep(KEY_WINDOW_S * 1000 + 500)
    await Promise.all(services().map(async service => await service.setFaults()))
    const waiting = [...keys('paused'), ...keys('undecided')].filter(key => !ranKeys.has(key))
    const taken = await Promise.all(waiting.map(async key => await book.call(entry(1), { key })))
    entry(0).resume()
    const answers = await Promise.all([...held, ...undecided])
    console.log(taken.map(answer => answer.status), answers.map(answer => `${answer.status} ${answer.kind}`))
    expect(answers.some(answer => answer.outcome === 'not_run')).toEqual(true)
    expect(await book.findViolations(services())).toEqual([])
  })

  const inForce = async (): Promise<number> => {
    const responses = await Promise.all(cluster.entries.map(async item => await (await fetch(`http://${item.listen}/admin/v1/contracts/lin-shun`, {
      headers: { authorization: 'Bearer operator-mei-token' }
    })).text()))
    const windows = responses.map(text => Number(/key_window_s\D+(\d+)/.exec(text)?.[1]))
    return windows.every(window => window === windows[0]) ? windows[0]! : 0
  }
})
