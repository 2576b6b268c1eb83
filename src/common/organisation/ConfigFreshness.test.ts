import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { KeyedTail } from '../store/KeyedTail.js'
import { FaultyStoreClient } from '../store/test/FaultyStoreClient.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { ConfigFreshness } from './ConfigFreshness.js'

const MAX_AGE_MS = 5000
const RESPONSE_MS = 20
const { logger, metrics } = testServices()

describe('ConfigFreshness', () => {
  describe('with clocks that the test controls', () => {
    let wallMs: number
    let monotonicMs: number
    let source: { upToDateAtMs: number }
    let freshness: ConfigFreshness
    let lines: string[]
    let counts: string[]

    beforeEach(() => {
      wallMs = 1_000_000
      monotonicMs = 50_000
      mock.method(Date, 'now', () => wallMs)
      mock.method(performance, 'now', () => monotonicMs)
      mock.timers.enable({ apis: ['setInterval'] })
      source = { upToDateAtMs: Number.NEGATIVE_INFINITY }
      lines = []
      counts = []
      const log = (fields: Record<string, unknown>, event: string): void => { lines.push(`${event} ${String(fields['reason'] ?? '')}`.trim()) }
      freshness = new ConfigFreshness(MAX_AGE_MS, source, { info: log, warn: log, error: log, debug: log }, {
        ...metrics,
        count: (name, labels) => counts.push(`${name} ${Object.values(labels ?? {}).join()}`.trim())
      })
    })
    afterEach(() => {
      freshness.dispose()
      mock.timers.reset()
      mock.restoreAll()
    })

    /** Lets time pass on both clocks, as in normal operation and while a process is frozen. */
    function pass (durationMs: number): void {
      wallMs += durationMs
      monotonicMs += durationMs
    }
    function refresh (): void {
      source.upToDateAtMs = monotonicMs
    }

    it('is stale before the first read', () => {
      expect(freshness.isFresh()).toEqual(false)
      refresh()
      expect(freshness.isFresh()).toEqual(true)
    })

    it('is fresh for less than the maximum age', () => {
      refresh()
      pass(MAX_AGE_MS - 600)
      expect(freshness.isFresh()).toEqual(true)
      pass(200)
      expect(freshness.isFresh()).toEqual(false)
    })

    // Guards against a process that is frozen with its timers, and uses its old state for the first requests after it.
    it('is stale after a freeze, without a timer that fires in between', () => {
      refresh()
      expect(freshness.isFresh()).toEqual(true)
      pass(60_000)
      expect(freshness.isFresh()).toEqual(false)
      refresh()
      expect(freshness.isFresh()).toEqual(true)
    })

    // Guards against a monotonic clock that stops in a suspension, so that an old configuration appears new.
    it('counts only reads sent after a suspension', () => {
      refresh()
      pass(10)
      wallMs += 30_000
      expect(freshness.isFresh()).toEqual(false)
      // The response to a read that was sent before the suspension arrives after it.
      source.upToDateAtMs = monotonicMs - 5
      pass(100)
      expect(freshness.isFresh()).toEqual(false)
      refresh()
      expect(freshness.isFresh()).toEqual(true)
    })

    // Guards against suspensions that are each too short to be detected.
    it('is stale after short suspensions that exceed the maximum age with the time in between', () => {
      refresh()
      for (let count = 0; count < 12; count++) {
        pass(90)
        wallMs += 380
        freshness.isFresh()
      }
      expect(freshness.isFresh()).toEqual(false)
      refresh()
      pass(4650)
      wallMs += 390
      expect(freshness.isFresh()).toEqual(false)
    })

    for (const stepMs of [3_600_000, -3_600_000, 600, -600]) {
      it(`counts only reads sent after a step of the wall clock by ${stepMs} ms`, () => {
        refresh()
        pass(10)
        wallMs += stepMs
        expect(freshness.isFresh()).toEqual(false)
        pass(100)
        refresh()
        expect(freshness.isFresh()).toEqual(true)
      })
    }

    it('detects a suspension between requests by its timer, before a step back hides it', () => {
      refresh()
      wallMs += 30_000
      mock.timers.tick(100)
      wallMs -= 30_000
      expect(freshness.isFresh()).toEqual(false)
    })

    it('logs and counts the changes and their reason, without requests too', () => {
      refresh()
      mock.timers.tick(100)
      pass(MAX_AGE_MS)
      mock.timers.tick(300)
      refresh()
      mock.timers.tick(100)
      wallMs += 1000
      mock.timers.tick(100)
      expect(lines).toEqual(['config_fresh', 'config_stale age', 'config_fresh', 'config_clock_jumped', 'config_stale clock_jump'])
      expect(counts).toEqual(['config_stale age', 'config_clock_jumps', 'config_stale clock_jump'])
    })

    // The requirement as a whole: no sequence of faults makes a configuration seem newer than it is.
    it('is never fresh later than the maximum age after the send time of the last read, in true time', () => {
      const step = fc.record({
        kind: fc.constantFrom('pass' as const, 'suspend', 'step clock', 'read', 'request'),
        durationMs: fc.oneof(fc.integer({ min: 0, max: 399 }), fc.integer({ min: 0, max: 8000 })),
        isBack: fc.boolean()
      })
      fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
        source.upToDateAtMs = Number.NEGATIVE_INFINITY
        const subject = new ConfigFreshness(MAX_AGE_MS, source, logger, metrics)
        let trueMs = 0
        let upToDateAtTrueMs = Number.NEGATIVE_INFINITY
        for (const { kind, durationMs, isBack } of steps) {
          if (kind === 'pass' || kind === 'suspend') {
            trueMs += durationMs
            wallMs += durationMs
            if (kind === 'pass') monotonicMs += durationMs
          } else if (kind === 'step clock') {
            // Between two checks of the timer, either a suspension or a step happens.
            subject.isFresh()
            wallMs += isBack ? -durationMs - 400 : durationMs + 400
            subject.isFresh()
          } else if (kind === 'read') {
            refresh()
            upToDateAtTrueMs = trueMs
          }
          if (subject.isFresh() && trueMs - upToDateAtTrueMs > MAX_AGE_MS) throw new Error(`fresh ${trueMs - upToDateAtTrueMs} ms after the last read`)
        }
        subject.dispose()
      }), { numRuns: 2000 })
    })
  })

  describe('of a store that is read over a network', () => {
    let time: VirtualTime
    let store: MemoryStore
    let client: FaultyStoreClient
    let tail: KeyedTail
    let freshness: ConfigFreshness
    let isResponseLost: () => boolean

    beforeEach(async () => {
      time = new VirtualTime()
      store = new MemoryStore()
      isResponseLost = () => false
      client = new FaultyStoreClient(store, () => ({ requestDelayMs: 0, responseDelayMs: RESPONSE_MS, isResponseLost: isResponseLost() }))
      tail = new KeyedTail(client, 'topic', logger, 0, 0)
      freshness = new ConfigFreshness(MAX_AGE_MS, tail, logger, metrics)
      tail.start()
      await time.advance(200)
    })
    afterEach(() => {
      freshness.dispose()
      tail.dispose()
      time.restore()
    })

    /** Time for which it is stale while `durationMs` pass. */
    async function staleMs (durationMs: number): Promise<number> {
      let sumMs = 0
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
        await time.advance(10)
        if (!freshness.isFresh()) sumMs += 10
      }
      return sumMs
    }

    it('stays fresh without changes and with one lost response', async () => {
      expect(await staleMs(20_000)).toEqual(0)
      let reads = 0
      isResponseLost = () => ++reads === 3
      expect(await staleMs(20_000)).toEqual(0)
      expect(reads > 3).toEqual(true)
    })

    it('ends within the maximum age of a partition, and is back soon after it', async () => {
      client.isCutOff = true
      await time.advance(MAX_AGE_MS)
      expect(freshness.isFresh()).toEqual(false)
      expect(await staleMs(10_000)).toEqual(10_000)
      client.isCutOff = false
      // A read that was lost in the partition times out after 2.2 s.
      expect(await staleMs(8000) <= 3000).toEqual(true)
      expect(freshness.isFresh()).toEqual(true)
    })
  })

  it('is always fresh without a maximum age', () => {
    const subject = new ConfigFreshness(undefined, { upToDateAtMs: Number.NEGATIVE_INFINITY }, logger, metrics)
    expect(subject.isFresh()).toEqual(true)
    subject.dispose()
  })
})
