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
const MEMBERSHIP_LAG_MS = 10_000
// Upper bound for the "few seconds" of invariant 7.
const MAX_LEAVING_MS = 3000
const OBSERVATION_MS = 4000
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
  const recorder = new CallRecorder('order-app')
  const startedAtMs = performance.now()
  let cluster: Cluster
  let balancerAddress = ''
  let setBalancerTargets: (entries: EntryProcess[]) => Promise<void>
  const services = () => [...cluster.upstreams.values()].filter(upstream => upstream.name.startsWith('order-app'))

  /** Makes calls until stopped; every third one is a ticket, the others are lookups. */
  const startLoad = (target: (caller: number) => EntryProcess | string): { stop: () => Promise<void> } => {
    const state = { isRunning: true }
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      for (let n = 0; state.isRunning; n++) {
        await recorder.call(target(caller), n % 3 === 0 ? { key: crypto.randomUUID() } : { path: `/orders/${caller}-${n}` })
        await sleep(10)
      }
    })
    return {
      stop: async () => {
        state.isRunning = false
        await Promise.all(callers)
      }
    }
  }

  const readStream = async (address: string, prompt: string): Promise<string> => {
    const response = await fetch(`http://${address}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${bearerTokens['lin-shun']}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'shaping-llm', prompt, max_tokens: 400, stream: true })
    })
    return await response.text()
  }

  const restartEntry = async (entry: EntryProcess): Promise<number | null> => {
    const remaining = cluster.entries.filter(other => other !== entry)
    const stopped = entry.terminate()
    // The balancer applies this after its lag and sends requests to the stopping entry until then.
    await setBalancerTargets(remaining)
    const exitCode = await stopped
    await cluster.restart(entry)
    await waitUntil(`${entry.name} is ready`, async () => await entry.fetchReadinessStatus() === 200)
    await setBalancerTargets(cluster.entries)
    return exitCode
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
    balancerAddress = started.front
    setBalancerTargets = async entries => await started.balancer.put('/targets', { targets: entries.map(entry => entry.listen) })
  })
  after(async () => await cluster.dispose())

  it('completes all requests in flight on an entry that stops while the balancer still sends to it', async () => {
    const [entry] = cluster.entries
    const load = startLoad(() => balancerAddress)
    await Promise.all(services().map(async service => await service.setFaults({ slow_factor: 60 })))
    const streams = [0, 1, 2, 3].map(async n => await readStream(entry!.listen, `long advice ${n}`))
    const slowCalls = Array.from({ length: 36 }, async (_, n) => await recorder.call(entry!, { key: `slow-${n}` }))
    const read = fetch(`http://${entry!.listen}/v1/trainers/brim/groups?wait_ms=2500`, { headers: { authorization: `Bearer ${bearerTokens['lin-shun']}` } })
    await sleep(300)
    const exitCode = await restartEntry(entry!)
    expect((await Promise.all(streams)).map(text => text.trimEnd().endsWith('data: [DONE]'))).toEqual([true, true, true, true])
    expect(new Set((await Promise.all(slowCalls)).map(response => response.status))).toEqual(new Set([200]))
    expect((await read).status).toEqual(200)
    expect(exitCode).toEqual(0)
    await Promise.all(services().map(async service => await service.setFaults()))
    await load.stop()
    console.log(recorder.countOutcomes())
    expect(recorder.countOutcomes()['0'] ?? 0).toEqual(0)
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('finishes and records a ticket whose caller disconnected before the stop', async () => {
    const [entry, other] = cluster.entries
    await Promise.all(services().map(async service => await service.setFaults({ slow_factor: 250 })))
    const abortController = new AbortController()
    const abandonedCall = fetch(`http://${entry!.listen}/v1/services/order-app/tickets`, {
      method: 'POST',
      body: 'hood left',
      headers: { authorization: `Bearer ${bearerTokens['lin-shun']}`, 'idempotency-key': 'left' },
      signal: abortController.signal
    }).catch(() => undefined)
    await waitUntil('the ticket runs', async () => (await recorder.fetchRuns(services())).some(run => run.key === 'left'))
    abortController.abort()
    await abandonedCall
    expect(await restartEntry(entry!)).toEqual(0)
    await Promise.all(services().map(async service => await service.setFaults()))
    const repeat = await recorder.call(other!, { key: 'left' })
    expect([repeat.status, repeat.body.run]).toEqual([200, 1])
  })

  it('loses no call while all entries are restarted one after the other', async () => {
    const callsBefore = recorder.calls.length
    const load = startLoad(() => balancerAddress)
    const exitCodes = []
    for (const entry of cluster.entries) exitCodes.push(await restartEntry(entry))
    await load.stop()
    const statuses = new Set(recorder.calls.slice(callsBefore).map(call => call.response.status))
    console.log(`${recorder.calls.length - callsBefore} calls`, statuses)
    expect(exitCodes).toEqual([0, 0, 0])
    expect(statuses).toEqual(new Set([200]))
    expect(await recorder.findViolations(services())).toEqual([])
  })

  it('stops sending new calls to a leaving upstream within a few seconds of its own report or the membership list', async () => {
    // Any earlier, the lagging membership list would not contain all upstreams yet.
    await sleep(Math.max(0, MEMBERSHIP_LAG_MS + 1000 - (performance.now() - startedAtMs)))
    await cluster.membership.setFaults({ lag_ms: MEMBERSHIP_LAG_MS })
    await waitUntil('all entries are ready', async () => (await Promise.all(cluster.entries.map(async entry => await entry.fetchReadinessStatus()))).every(status => status === 200))
    const load = startLoad(caller => cluster.entries[caller % 3]!)
    await sleep(1000)
    const [reporting, listed] = services()
    const markedAtMs = Date.now()
    await reporting!.setFaults({ leaving: true })
    await cluster.updateMember(reporting!.name, { state: 'leaving' })
    await cluster.updateMember(listed!.name, { state: 'leaving' })
    await sleep(OBSERVATION_MS)
    const startAfterObservationMs = await lastRunStart([reporting!])
    await sleep(MEMBERSHIP_LAG_MS)
    await load.stop()
    const [reportingMs, listedMs, otherMs] = await Promise.all([lastRunStart([reporting!]), lastRunStart([listed!]), lastRunStart(services().slice(2))])
    console.log(`last start after marking as leaving: ${reportingMs - markedAtMs} ms by its own report, ${listedMs - markedAtMs} ms by the membership list`)
    expect(reportingMs).toEqual(startAfterObservationMs)
    expect(reportingMs - markedAtMs).toBeLessThan(MAX_LEAVING_MS)
    expect(listedMs - markedAtMs).toBeLessThan(MEMBERSHIP_LAG_MS + MAX_LEAVING_MS)
    expect(otherMs).toBeGreaterThan(listedMs)
    expect(await recorder.findViolations(services())).toEqual([])
  })

  const lastRunStart = async (upstreams: ReturnType<typeof services>): Promise<number> => {
    const ledgers = await Promise.all(upstreams.map(async service => (await service.get('/ledger')).calls as Run[]))
    return Math.max(...ledgers.flat().map(run => run.started_at_ms))
  }
})
