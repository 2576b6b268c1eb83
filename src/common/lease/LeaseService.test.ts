import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { LogHub } from '../log/LogHub.js'
import type { AppendOutcome } from '../log/test/AppendOutcome.js'
import { FakeLog } from '../log/test/FakeLog.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { LeaseService } from './LeaseService.js'

const LEASE_MS = 3000
const GUARD_MS = 500

function createEntry (log: FakeLog, id: string) {
  const { settings, logger, metrics } = testServices(id, { leaseMs: LEASE_MS, leaseGuardMs: GUARD_MS })
  const hub = new LogHub(log, settings, logger, metrics)
  const service = new LeaseService(hub, settings, logger, metrics)
  const events: string[] = []
  service.onGained(lease => events.push(`gained ${lease.fence}`))
  service.onLost(lease => events.push(`lost ${lease.fence}`))
  hub.start()
  service.start()
  service.acquire('n')
  const dispose = (): void => {
    service.dispose()
    hub.dispose()
  }
  return { service, hub, events, dispose }
}

describe('LeaseService', () => {
  let time: VirtualTime
  let log: FakeLog
  let entryA: ReturnType<typeof createEntry>
  let entryB: ReturnType<typeof createEntry>

  beforeEach(async () => {
    time = new VirtualTime()
    log = new FakeLog()
    entryA = createEntry(log, 'entry-a')
    await time.advance(500)
    entryB = createEntry(log, 'entry-b')
    await time.advance(500)
  })
  afterEach(() => {
    entryA.dispose()
    entryB.dispose()
    time.restore()
  })

  it('has one holder, which renews its lease', async () => {
    await time.advance(20_000, 20)
    expect(entryA.service.held('n')).toEqual({ name: 'n', fence: 0 })
    expect(entryB.service.held('n')).toEqual(undefined)
    expect([entryA.events, entryB.events]).toEqual([['gained 0'], []])
  })

  // A process that resumes after a pause may check its lease before any of its timers has run.
  it('no longer holds the lease right after a pause, before a timer has run', () => {
    const nowMs = performance.now()
    expect(entryA.service.held('n')?.fence).toEqual(0)
    performance.now = () => nowMs + LEASE_MS
    expect(entryA.service.held('n')).toEqual(undefined)
  })

  it('stops holding the lease a guard time before others may take over, counted from when the renewal was sent', async () => {
    await time.advance(2000, 20)
    log.latencyMs = 200
    log.isDown = true
    const renewedAtMs = log.entries('leases').at(-1)?.timeMs ?? 0
    time.pause(renewedAtMs + LEASE_MS - GUARD_MS - 60 - Date.now())
    expect(entryA.service.held('n')?.fence).toEqual(0)
    time.pause(60)
    expect(entryA.service.held('n')).toEqual(undefined)
  })

  it('counts a renewal from when it was sent, not from when it was read back', async () => {
    log.latencyMs = 300
    await time.advance(3000, 10)
    // A record is written 300 ms after it was sent and read back 300 ms later.
    const seen = log.entries('leases').filter(entry => entry.timeMs + 300 <= Date.now()).at(-1)
    const limitMs = (seen?.timeMs ?? 0) - 300 + LEASE_MS - GUARD_MS
    time.pause(limitMs - Date.now() - 30)
    expect(entryA.service.held('n')?.fence).toEqual(0)
    time.pause(60)
    expect(entryA.service.held('n')).toEqual(undefined)
  })

  it('is taken over with a higher fencing token after the holder stopped', async () => {
    entryA.dispose()
    await time.advance(2 * LEASE_MS + 500, 20)
    expect((entryB.service.held('n')?.fence ?? 0) > 0).toEqual(true)
  })

  it('is free at once when it is released', async () => {
    entryA.service.release('n')
    expect(entryA.service.held('n')).toEqual(undefined)
    await time.advance(600, 20)
    expect(entryB.service.held('n') === undefined).toEqual(false)
    expect(entryA.events).toEqual(['gained 0', 'lost 0'])
  })

  it('is yielded when it is gained only after it was released', async () => {
    entryB.service.release('n')
    entryA.service.release('n')
    await time.advance(300, 20)
    log.latencyMs = 300
    entryB.service.acquire('n')
    await time.advance(500, 20)
    entryB.service.release('n')
    await time.advance(3000, 20)
    const types = log.entries('leases').map(entry => (entry.value as { type: string }).type)
    expect(types).toEqual(['lease', 'yield', 'lease', 'yield'])
  })

  // Guards against a second holder: the records that name the holder may be lost before its next renewal is written.
  it('is not taken by an entry that has just started after a retention gap', async () => {
    log.dropBefore('leases', (log.entries('leases').at(-1)?.offset ?? 0) + 1)
    const fresh = createEntry(log, 'entry-c')
    await time.advance(10_000, 20)
    const leases = log.entries('leases').filter(entry => (entry.value as { type: string }).type === 'lease')
    expect([leases.length, fresh.events.length, entryA.service.held('n')?.fence]).toEqual([0, 0, 0])
    entryA.dispose()
    entryB.dispose()
    await time.advance(30_000, 50)
    expect(fresh.service.held('n') === undefined).toEqual(false)
    fresh.dispose()
  })

  it('is lost in an outage of the log, and no entry takes it over before the log is back', async () => {
    log.isDown = true
    await time.advance(10_000, 20)
    expect([entryA.service.held('n'), entryB.service.held('n')]).toEqual([undefined, undefined])
    log.isDown = false
    await time.advance(8000, 20)
    const holders = [entryA, entryB].filter(entry => entry.service.held('n') !== undefined)
    expect(holders.length).toEqual(1)
  })

  it('does not renew the lease of an earlier process of the same entry', async () => {
    entryA.dispose()
    entryA = createEntry(log, 'entry-a')
    await time.advance(1000, 20)
    expect(entryA.service.held('n')).toEqual(undefined)
  })
})

const appendOutcomeArbitrary = fc.constantFrom<AppendOutcome>('ok', 'ok', 'rejected', 'response_lost', 'request_lost')
const outageArbitrary = fc.record({ atMs: fc.nat(12_000), durationMs: fc.nat(4000) })

/** Runs three entries over one faulty log; returns the fencing tokens held in order and whether two entries held at once. */
async function simulate (appendOutcomes: AppendOutcome[], outages: Array<{ atMs: number, durationMs: number }>, latencyMs: number) {
  const time = new VirtualTime()
  const log = new FakeLog()
  const entries = ['entry-a', 'entry-b', 'entry-c'].map(id => createEntry(log, id))
  const fences: number[] = []
  let hadTwoHolders = false
  let appendCount = 0
  log.latencyMs = latencyMs
  log.decideOutcome = () => appendOutcomes[appendCount++ % appendOutcomes.length] ?? 'ok'
  for (const outage of outages) {
    setTimeout(() => { log.isDown = true }, outage.atMs)
    setTimeout(() => { log.isDown = false }, outage.atMs + outage.durationMs)
  }
  for (let step = 0; step < 15_000 / 50; step++) {
    await time.advance(50, 50)
    const held = entries.flatMap(entry => entry.service.held('n') ?? [])
    hadTwoHolders ||= held.length > 1
    if (held[0] !== undefined && fences.at(-1) !== held[0].fence) fences.push(held[0].fence)
  }
  for (const entry of entries) entry.dispose()
  await time.advance(6000, 1000)
  time.restore()
  return { fences, hadTwoHolders }
}

describe('leases of three entries over one faulty log', () => {
  it('have at most one holder at a time, with increasing fencing tokens', async () => {
    let gained = 0
    await fc.assert(fc.asyncProperty(
      fc.array(appendOutcomeArbitrary, { minLength: 1, maxLength: 8 }), fc.array(outageArbitrary, { maxLength: 3 }), fc.constantFrom(0, 100, 800),
      async (appendOutcomes, outages, latencyMs) => {
        const { fences, hadTwoHolders } = await simulate(appendOutcomes, outages, latencyMs)
        expect(hadTwoHolders).toEqual(false)
        expect(fences).toEqual([...new Set(fences)].sort((a, b) => a - b))
        gained += fences.length
      }), { numRuns: 60, seed: 8 })
    expect(gained > 60).toEqual(true)
  })
})
