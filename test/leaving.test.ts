import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { CallRecorder } from '../tools/harness/CallRecorder.js'
import { Cluster } from '../tools/harness/Cluster.js'
import { createCallContract } from '../tools/harness/createCallContract.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 120_000
const LIST_LAG_MS = 10_000
// "A few seconds" of invariant 7.
const LEAVING_MS = 3000
const WATCH_MS = 4000
const CALLERS = 6
const CONTRACT = `${createCallContract()}
[work.advice]
service = shaping-llm
kind = generation
deadline_ms = 60000
size = long
max_tokens = 2048
[trainer.brim]
service = shaping-llm
staleness_versions = 2
step_deadline_s = 600
weights_every_s = 240
max_tokens = 2048
`

interface Run { path: string, started_at_ms: number }

describe('leaving upstreams and planned stops', { timeout: TIMEOUT_MS }, () => {
  const book = new CallRecorder('order-app')
  const startedAtMs = performance.now()
  let cluster: Cluster
  let front = ''
  let balance: (entries: EntryProcess[]) => Promise<void>
  const services = () => [...cluster.upstreams.values()].filter(upstream => upstream.name.startsWith('order-app'))

  /** Calls all the time until stopped, lookups and tickets in turn. */
  const keepCalling = (target: (caller: number) => EntryProcess | string): { stop: () => Promise<void> } => {
    const state = { isOn: true }
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      for (let n = 0; state.isOn; n++) {
        await book.call(target(caller), n % 3 === 0 ? { key: crypto.randomUUID() } : { path: `/orders/${caller}-${n}` })
        await sleep(10)
      }
    })
    return {
      stop: async () => {
        state.isOn = false
        await Promise.all(callers)
      }
    }
  }

  const stream = async (address: string, prompt: string): Promise<string> => {
    const response = await fetch(`http://${address}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${bearerTokens['lin-shun']}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'shaping-llm', prompt, max_tokens: 400, stream: true })
    })
    return await response.text()
  }

  const replaceOne = async (entry: EntryProcess): Promise<number | null> => {
    const rest = cluster.entries.filter(other => other !== entry)
    const stopped = entry.terminate()
    // The balancer acts on this after its lag and sends to the stopping entry until then.
    await balance(rest)
    const code = await stopped
    await cluster.restart(entry)
    await waitUntil(`${entry.name} is ready`, async () => await entry.fetchReadinessStatus() === 200)
    await balance(cluster.entries)
    return code
  }

  before(async () => {
    cluster = await Cluster.start({
      entries: 3,
      services: {
        'order-app': { kind: 'plain', count: 4 },
        'shaping-llm': { kind: 'engine', count: 2, flags: () => ({ 'tokens-per-second': 40 }) }
      },
      contracts: [CONTRACT],
      timing: { drain_notice_ms: 1200 }
    })
    const started = await cluster.startBalancer({ 'lag-ms': 500 })
    front = started.front
    balance = async entries => await started.balancer.put('/targets', { targets: entries.map(entry => entry.listen) })
  })
  after(async () => await cluster.dispose())

  it('cuts nothing off that is in flight on an entry that stops while the balancer still sends to it', async () => {
    const [entry] = cluster.entries
    const load = keepCalling(() => front)
    await Promise.all(services().map(async service => await service.setFaults({ slow_factor: 60 })))
    const streams = [0, 1, 2, 3].map(async n => await stream(entry!.listen, `long advice ${n}`))
    const slow = Array.from({ length: 36 }, async (_, n) => await book.call(entry!, { key: `slow-${n}` }))
    const read = fetch(`http://${entry!.listen}/v1/trainers/brim/groups?wait_ms=2500`, { headers: { authorization: `Bearer ${bearerTokens['lin-shun']}` } })
    await sleep(300)
    const code = await replaceOne(entry!)
    expect((await Promise.all(streams)).map(text => text.trimEnd().endsWith('data: [DONE]'))).toEqual([true, true, true, true])
    expect(new Set((await Promise.all(slow)).map(answer => answer.status))).toEqual(new Set([200]))
    expect((await read).status).toEqual(200)
    expect(code).toEqual(0)
    await Promise.all(services().map(async service => await service.setFaults()))
    await load.stop()
    console.log(book.countOutcomes())
    expect(book.countOutcomes()['0'] ?? 0).toEqual(0)
    expect(await book.findViolations(services())).toEqual([])
  })

  it('finishes and records a ticket whose caller left before the stop', async () => {
    const [entry, other] = cluster.entries
    await Promise.all(services().map(async service => await service.setFaults({ slow_factor: 250 })))
    const leaver = new AbortController()
    const left = fetch(`http://${entry!.listen}/v1/services/order-app/tickets`, {
      method: 'POST',
      body: 'hood left',
      headers: { authorization: `Bearer ${bearerTokens['lin-shun']}`, 'idempotency-key': 'left' },
      signal: leaver.signal
    }).catch(() => undefined)
    await waitUntil('the ticket runs', async () => (await book.fetchRuns(services())).some(run => run.key === 'left'))
    leaver.abort()
    await left
    expect(await replaceOne(entry!)).toEqual(0)
    await Promise.all(services().map(async service => await service.setFaults()))
    const repeat = await book.call(other!, { key: 'left' })
    expect([repeat.status, repeat.body.run]).toEqual([200, 1])
  })

  it('loses no call while all entries are replaced one after the other', async () => {
    const before = book.calls.length
    const load = keepCalling(() => front)
    const codes = []
    for (const entry of cluster.entries) codes.push(await replaceOne(entry))
    await load.stop()
    const statuses = new Set(book.calls.slice(before).map(call => call.response.status))
    console.log(`${book.calls.length - before} calls`, statuses)
    expect(codes).toEqual([0, 0, 0])
    expect(statuses).toEqual(new Set([200]))
    expect(await book.findViolations(services())).toEqual([])
  })

  it('sends no new work to a leaving upstream a few seconds after its own report or the list says so', async () => {
    // Before that the lagging list would not contain all upstreams.
    await sleep(Math.max(0, LIST_LAG_MS + 1000 - (performance.now() - startedAtMs)))
    await cluster.membership.setFaults({ lag_ms: LIST_LAG_MS })
    await waitUntil('all entries are ready', async () => (await Promise.all(cluster.entries.map(async entry => await entry.fetchReadinessStatus()))).every(status => status === 200))
    const load = keepCalling(caller => cluster.entries[caller % 3]!)
    await sleep(1000)
    const [own, listed] = services()
    const markedAtMs = Date.now()
    await own!.setFaults({ leaving: true })
    await cluster.updateMember(own!.name, { state: 'leaving' })
    await cluster.updateMember(listed!.name, { state: 'leaving' })
    await sleep(WATCH_MS)
    const early = await lastStart([own!])
    await sleep(LIST_LAG_MS)
    await load.stop()
    const [ownMs, listedMs, otherMs] = await Promise.all([lastStart([own!]), lastStart([listed!]), lastStart(services().slice(2))])
    console.log(`last start after the mark: ${ownMs - markedAtMs} ms by the own report, ${listedMs - markedAtMs} ms by the list`)
    expect(ownMs).toEqual(early)
    expect(ownMs - markedAtMs).toBeLessThan(LEAVING_MS)
    expect(listedMs - markedAtMs).toBeLessThan(LIST_LAG_MS + LEAVING_MS)
    expect(otherMs).toBeGreaterThan(listedMs)
    expect(await book.findViolations(services())).toEqual([])
  })

  const lastStart = async (of: ReturnType<typeof services>): Promise<number> => {
    const ledgers = await Promise.all(of.map(async service => (await service.get('/ledger')).calls as Run[]))
    return Math.max(...ledgers.flat().map(run => run.started_at_ms))
  }
})
