import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { DutyHolder } from '../duty/DutyHolder.js'
import type { DutyOutcome } from '../duty/DutyOutcome.js'
import type { UsageReport } from '../duty/UsageReport.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { FakeLeadership } from '../store/test/FakeLeadership.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { UsageClock } from './UsageClock.js'
import { UsageCollector } from './UsageCollector.js'
import { UsageLedger } from './UsageLedger.js'
import type { UsageReceipt } from './UsageReceipt.js'
import { UsageReporter } from './UsageReporter.js'
import { UsageSchedule } from './UsageSchedule.js'

const HOUR_MS = 3_600_000
/** The virtual clock starts at the start of this window. */
const WINDOW = 200
const TICK_MS = 200
const schedule = new UsageSchedule({ entryId: 'a', windowMs: 5000, lateMs: 10_000, leaseMs: 3000 })

describe('UsageReporter', () => {
  let time: VirtualTime
  let store: MemoryStore
  let reporter: UsageReporter
  let holder: DutyHolder
  let calls: UsageReport[]
  let events: Array<[string, Record<string, unknown>]>
  let outcome: (report: UsageReport) => DutyOutcome
  /** Wrong by this much at the holder. The virtual `performance.now` stays right. */
  let clockErrorMs: number

  const offer = (entry: string, window: number, counts: Record<string, number>, unconfirmed: number[] = []): UsageReceipt | undefined =>
    reporter.accept({ entry, process: 'p', sentAtUnixMs: performance.now(), windows: [{ window, counts }], unconfirmed })
  const contribute = (...[entry, window, counts, unconfirmed]: Parameters<typeof offer>): UsageReceipt => {
    const receipt = offer(entry, window, counts, unconfirmed)
    if (receipt === undefined) throw new Error(`the contribution of ${entry} for ${window} was not accepted`)
    return receipt
  }
  const reportsOf = (window: number): Array<Record<string, number>> => calls.filter(call => call.window === window).map(({ counts }) => counts)
  const eventsNamed = (name: string): Array<Record<string, unknown>> => events.filter(([event]) => event === name).map(([, fields]) => fields)

  async function run (durationMs: number, isAccepting = true): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      reporter.tick(isAccepting)
      await time.advance(TICK_MS, TICK_MS / 2)
    }
  }

  function create (epoch: number): void {
    const { logger: silent, metrics } = testServices()
    const log = (fields: Record<string, unknown>, event: string): void => { events.push([event, fields]) }
    const logger = { ...silent, info: log, warn: log, error: log }
    const leadership = new FakeLeadership()
    holder = new DutyHolder('usage_report', leadership, 3000, logger, metrics)
    leadership.gain(epoch)
    const client = {
      reportUsage: async (report: UsageReport) => {
        calls.push(report)
        return outcome(report)
      }
    }
    reporter = new UsageReporter({ entryId: 'a', epoch }, schedule, new UsageLedger(store, epoch, logger), new UsageCollector(schedule), new UsageClock(schedule), { holder, client }, logger, metrics)
  }

  beforeEach(() => {
    time = new VirtualTime()
    const now = Date.now
    clockErrorMs = 0
    mock.method(performance, 'now', () => now.call(Date))
    mock.method(Date, 'now', () => now.call(Date) + clockErrorMs)
    store = new MemoryStore()
    calls = []
    events = []
    outcome = () => 'accepted'
    create(1)
  })
  afterEach(() => {
    reporter.dispose()
    holder.dispose()
    time.restore()
  })

  // Guards against reports that lack the contributions that arrived while the holder was frozen.
  it('closes no window at once after a freeze, or after a time in which entries could not reach it', async () => {
    await run(5000)
    await time.advance(6000)
    reporter.tick(true)
    contribute('b', WINDOW, { x: 1 })
    await run(8000)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
    await run(1000, false)
    contribute('b', WINDOW + 2, { x: 2 })
    await run(5000)
    expect(reportsOf(WINDOW + 2)).toEqual([{ x: 2 }])
  })

  // Guards against reports of windows that have not ended, because of a wrong clock of the holder.
  it('reports the windows of true time when its own clock is an hour ahead', async () => {
    await run(1000)
    for (let window = WINDOW; window < WINDOW + 8; window++) {
      // The clock jumps before the others have told theirs again.
      if (window === WINDOW + 2) clockErrorMs = HOUR_MS
      await run(1000)
      // An entry sends again what was not accepted.
      const entries = ['b', 'c', 'd']
      for (const entry of [...entries, ...entries]) offer(entry, window - 1, { x: 1 })
      await run(4000)
      for (const entry of ['b', 'c', 'd']) contribute(entry, window, { x: 1 })
    }
    await run(5000)
    expect(Math.max(...calls.map(({ window }) => window)) < WINDOW + 10).toEqual(true)
    for (let window = WINDOW; window < WINDOW + 6; window++) expect(reportsOf(window)).toEqual([{ x: 3 }])
  })

  // Guards against windows without a report after the clock of the holder was ahead.
  it('covers the windows of true time after its clock is set back', async () => {
    await run(6000)
    clockErrorMs = HOUR_MS
    await run(10_000)
    clockErrorMs = 0
    await run(20_000)
    for (let window = WINDOW + 3; window < WINDOW + 5; window++) expect(reportsOf(window)).toEqual([{}])
    expect(calls.every(({ window }, index) => calls.findIndex(call => call.window === window) === index)).toEqual(true)
  })

  // Guards against counts that the entry keeps although they are durable, and removes although they are not.
  it('confirms a window once its report is durable, and rejects additions to it', async () => {
    await run(2000)
    expect(contribute('b', WINDOW, { x: 1 }).taken).toEqual([WINDOW])
    await run(7000)
    expect(contribute('c', WINDOW + 1, { x: 1 }, [WINDOW]).committed).toEqual([])
    store.appendOutcome = () => 'refused'
    await run(2000)
    const closed = contribute('d', WINDOW, { x: 9 }, [])
    expect([closed.taken, closed.refused, closed.committed]).toEqual([[], [WINDOW], []])
    store.appendOutcome = () => 'ok'
    await run(2000)
    expect(contribute('c', WINDOW + 1, { x: 1 }, [WINDOW]).committed).toEqual([WINDOW])
    expect(contribute('d', WINDOW, { x: 9 }).committed).toEqual([WINDOW])
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
  })

  // Guards against one report that is never accepted and holds up all others.
  it('sends the other reports while one is rejected again and again', async () => {
    outcome = ({ window }) => window === WINDOW ? 'retry' : 'accepted'
    await run(40_000)
    expect(reportsOf(WINDOW).length > 5).toEqual(true)
    for (let window = WINDOW + 1; window < WINDOW + 6; window++) expect(reportsOf(window)).toEqual([{}])
    // The same among reports that are overdue.
    outcome = () => 'retry'
    await run(40_000)
    outcome = ({ window }) => window === WINDOW ? 'retry' : 'accepted'
    calls = []
    await run(60_000)
    for (let window = WINDOW + 7; window < WINDOW + 14; window++) expect(reportsOf(window)).toEqual([{}])
  })

  // Guards against entries that are still waiting to send again when the window is closed.
  it('waits longer for contributions after a longer outage', async () => {
    await run(2000)
    await run(20_000, false)
    await run(4800)
    expect(reportsOf(WINDOW)).toEqual([])
    contribute('b', WINDOW, { x: 1 })
    await run(3000)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
  })

  // Guards against memory that grows while this holder may not send.
  it('gives up reports that are too old, also without the right to send them', async () => {
    outcome = () => 'fenced'
    await run(320_000)
    const abandoned = eventsNamed('usage_report_abandoned').map(({ window }) => window)
    expect([abandoned[0], abandoned[1], calls.length]).toEqual([WINDOW - 2, WINDOW - 1, 1])
  })

  it('repeats a report after a fault of the client', async () => {
    outcome = () => { throw new Error('fault') }
    await run(11_000)
    outcome = () => 'accepted'
    await run(4000)
    expect(eventsNamed('usage_reporter_fault').length > 0).toEqual(true)
    expect(eventsNamed('usage_report_sent').some(({ window }) => window === WINDOW)).toEqual(true)
  })

  // Guards against changed counts after a commit that may or may not have taken effect.
  it('repeats a commit whose outcome is unknown with the same counts', async () => {
    await run(2000)
    contribute('b', WINDOW, { x: 1 })
    await run(7000)
    const outcomes: Array<'answer_lost' | 'rejected'> = ['answer_lost', ...Array<'rejected'>(6).fill('rejected')]
    store.appendOutcome = () => outcomes.shift() ?? 'ok'
    await run(6000)
    expect(contribute('c', WINDOW, { x: 5 }).taken).toEqual([])
    await run(10_000)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
  })

  it('logs the outcome of each report with what an operator needs', async () => {
    await run(2000)
    contribute('b', WINDOW, { x: 2, y: 3 })
    await run(11_000)
    const committed = eventsNamed('usage_report_committed').find(({ window }) => window === WINDOW)
    expect([committed?.organisations, committed?.total]).toEqual([2, 5])
    expect(eventsNamed('usage_report_sent').some(({ window, token }) => window === WINDOW && token === 1)).toEqual(true)
  })
})
