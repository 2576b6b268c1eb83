import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { FakeLog } from '../log/test/FakeLog.js'
import type { StreamName } from '../log/StreamName.js'
import type { AppendOutcome } from '../log/test/AppendOutcome.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { IClaimTicket } from './IClaimTicket.js'
import { ClaimEntry } from './test/ClaimEntry.js'

const RESPONSE = { status: 200, headers: {}, body_base64: 'eA==', body_omitted: false }

describe('ClaimService', () => {
  let time: VirtualTime
  let log: FakeLog
  let entryA: ClaimEntry
  let entryB: ClaimEntry

  beforeEach(async () => {
    time = new VirtualTime()
    log = new FakeLog()
    entryA = new ClaimEntry(log, 'entry-a')
    entryB = new ClaimEntry(log, 'entry-b')
    await time.advance(100)
  })
  afterEach(() => {
    entryA.dispose()
    entryB.dispose()
    time.restore()
  })

  async function win (entry: ClaimEntry, key: string): Promise<IClaimTicket> {
    const result = entry.claim(key, 2000)
    await time.advance(200)
    if (result.outcome?.kind !== 'won') throw new Error(`not won: ${JSON.stringify(result)}`)
    return result.outcome.ticket
  }

  function records (type: string): unknown[] {
    return log.entries('claims').filter(entry => (entry.value as { type: string }).type === type)
  }

  it('lets one of two racing requests win and gives the other its response', async () => {
    const claims = [entryA.claim('k', 2000), entryB.claim('k', 2000)]
    await time.advance(300)
    const winners = claims.filter(item => item.outcome?.kind === 'won')
    expect(winners.length).toEqual(1)
    const [winner] = winners
    if (winner?.outcome?.kind === 'won') winner.outcome.ticket.complete(RESPONSE)
    await time.advance(300)
    const [other] = claims.filter(item => item !== winner)
    expect(other?.outcome).toEqual({ kind: 'completed', response: RESPONSE })
  })

  it('rejects a repeat with a different body and a repeat of a request that never records a result', async () => {
    const ticket = await win(entryA, 'k')
    const differs = entryB.claim('k', 1000, 'y')
    const repeat = entryB.claim('k', 1000)
    ticket.abandon()
    await time.advance(900)
    expect(repeat.error).toEqual(undefined)
    await time.advance(200)
    expect([differs.error?.kind, differs.error?.outcome]).toEqual(['claim_body_differs', 'not_run'])
    expect([repeat.error?.kind, repeat.error?.outcome]).toEqual(['claim_unknown', 'unknown'])
  })

  it('frees a released key for a waiting request', async () => {
    const ticket = await win(entryA, 'k')
    const repeat = entryB.claim('k', 2000)
    await time.advance(100)
    ticket.release()
    await time.advance(400)
    expect(repeat.outcome?.kind).toEqual('won')
  })

  it('omits a body over 64 KiB from the log', async () => {
    (await win(entryA, 'k')).complete({ ...RESPONSE, body_base64: 'A'.repeat(90_000) })
    await time.advance(200)
    const repeat = entryB.claim('k', 500)
    await time.advance(100)
    expect(repeat.outcome?.kind === 'completed' && repeat.outcome.response.body_omitted).toEqual(true)
  })

  // Otherwise a claim that is written after the caller received not_run would block the key for its window.
  it('releases a claim that is read back after its caller was rejected', async () => {
    log.decideOutcome = () => 'response_lost'
    log.latencyMs = 300
    const rejected = entryA.claim('k', 200)
    await time.advance(500)
    expect(rejected.error?.outcome).toEqual('not_run')
    log.decideOutcome = () => 'ok'
    log.latencyMs = 0
    await time.advance(4000, 20)
    expect(records('release').length).toEqual(1)
    await win(entryB, 'k')
  })

  // The record can be read back between the deadline and the timeout of the append.
  it('releases a claim that is read back after the deadline', async () => {
    const append = entryA.hub.append.bind(entryA.hub)
    mock.method(entryA.hub, 'append', (stream: StreamName, record: { id: string }) => append(stream, record, 10_000))
    log.latencyMs = 300
    const result = entryA.claim('k', 100)
    await time.advance(3000, 20)
    expect([result.error?.outcome, records('claim').length, records('release').length]).toEqual(['not_run', 1, 1])
  })

  // Otherwise a holder that resumes after a long pause could send a call whose key other entries have already removed.
  it('may not start a call after a pause of more than half the key window', async () => {
    const ticket = await win(entryA, 'k')
    expect(ticket.mayStart()).toEqual(true)
    time.pause(7500)
    expect(ticket.mayStart()).toEqual(false)
  })

  it('may not start a call after a pause of more than a sixth of retention, whatever the key window', async () => {
    entryA.windowS = 1000
    const ticket = await win(entryA, 'k')
    time.pause(10_000)
    expect(ticket.mayStart()).toEqual(false)
  })

  it('may not start a call after the claim was settled, and settles once', async () => {
    const ticket = await win(entryA, 'k')
    ticket.release()
    ticket.complete(RESPONSE)
    await time.advance(200)
    expect([ticket.mayStart(), records('release').length, records('result').length]).toEqual([false, 1, 0])
  })

  it('frees a key after its window, also when the stream is idle', async () => {
    (await win(entryA, 'k')).complete(RESPONSE)
    await time.advance(14_000, 100)
    const early = entryB.claim('k', 500)
    await time.advance(100)
    expect(early.outcome?.kind).toEqual('completed')
    await time.advance(1500, 100)
    await win(entryB, 'k')
  })

  it('rejects claims as not_run before it has caught up and while the log is unavailable', async () => {
    log.isDown = true
    const fresh = new ClaimEntry(log, 'entry-c')
    const early = fresh.claim('k', 2000)
    const late = entryA.claim('k', 4000)
    await time.advance(5)
    expect([early.error?.kind, late.error?.kind]).toEqual(['claim_unavailable', undefined])
    await time.advance(4100, 20)
    expect([early.error?.outcome, late.error?.outcome]).toEqual(['not_run', 'not_run'])
    const quick = entryA.claim('k', 4000)
    await time.advance(3000, 20)
    expect(quick.error?.kind).toEqual('claim_unavailable')
    log.isDown = false
    await time.advance(4000, 20)
    expect(records('claim').length).toEqual(0)
    fresh.dispose()
  })

  it('keeps the claims of an earlier process of the same entry and does not release them', async () => {
    await win(entryA, 'k')
    const restarted = new ClaimEntry(log, 'entry-a')
    await time.advance(200)
    const repeat = restarted.claim('k', 500)
    await time.advance(600)
    expect([repeat.error?.kind, records('release').length]).toEqual(['claim_unknown', 0])
    restarted.dispose()
  })
})

interface Call { atMs: number, isOnEntryA: boolean, key: string, then: 'complete' | 'release' | 'abandon', timeoutMs: number }

const callArbitrary = fc.record({
  atMs: fc.integer({ min: 0, max: 3000 }),
  isOnEntryA: fc.boolean(),
  key: fc.constantFrom('k', 'l'),
  then: fc.constantFrom('complete' as const, 'release' as const, 'abandon' as const),
  timeoutMs: fc.integer({ min: 50, max: 2000 })
})
const appendOutcomeArbitrary = fc.constantFrom<AppendOutcome>('ok', 'ok', 'rejected', 'response_lost', 'request_lost')

/** Runs calls on two entries over one faulty log; returns how often each key ran. */
async function simulate (calls: Call[], appendOutcomes: AppendOutcome[], outageAtMs: number, latencyMs: number): Promise<Map<string, number>> {
  const time = new VirtualTime()
  const log = new FakeLog()
  const entries = [new ClaimEntry(log, 'entry-a'), new ClaimEntry(log, 'entry-b')] as const
  const runs = new Map<string, number>()
  await time.advance(100, 20)
  let appendCount = 0
  log.latencyMs = latencyMs
  log.decideOutcome = () => appendOutcomes[appendCount++ % appendOutcomes.length] ?? 'ok'
  const run = (call: Call): void => {
    const entry = call.isOnEntryA ? entries[0] : entries[1]
    const request = { organisation: 'a', service: 's', key: call.key, bodySha256: 'x', deadlineAtMs: performance.now() + call.timeoutMs }
    entry.service.claim(request).match(outcome => {
      if (outcome.kind !== 'won') return
      const { ticket } = outcome
      if (call.then === 'release' || !ticket.mayStart()) return ticket.release()
      runs.set(call.key, (runs.get(call.key) ?? 0) + 1)
      if (call.then === 'complete') ticket.complete(RESPONSE)
      else ticket.abandon()
    }, () => {}).catch(() => {})
  }
  for (const call of calls) setTimeout(() => run(call), call.atMs)
  setTimeout(() => { log.isDown = true }, outageAtMs)
  setTimeout(() => { log.isDown = false }, outageAtMs + 700)
  await time.advance(8000, 20)
  for (const entry of entries) entry.dispose()
  await time.advance(6000, 1000)
  time.restore()
  return runs
}

describe('claims of two entries over one faulty log', () => {
  it('run a key at most once despite lost responses, outages and any interleaving', async () => {
    let total = 0
    await fc.assert(fc.asyncProperty(
      fc.array(callArbitrary, { minLength: 2, maxLength: 10 }), fc.array(appendOutcomeArbitrary, { minLength: 1, maxLength: 8 }),
      fc.nat(3000), fc.constantFrom(0, 15, 60), async (calls, appendOutcomes, outageAtMs, latencyMs) => {
        const runs = await simulate(calls, appendOutcomes, outageAtMs, latencyMs)
        for (const count of runs.values()) expect(count).toEqual(1)
        total += runs.size
      }), { numRuns: 150, seed: 5 })
    // Guards against a simulation in which no claim wins.
    expect(total > 100).toEqual(true)
  })
})
