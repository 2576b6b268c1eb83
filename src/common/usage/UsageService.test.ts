import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { DutyOutcome } from '../duty/DutyOutcome.js'
import type { UsageReport } from '../duty/UsageReport.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { FakeLeadership } from '../store/test/FakeLeadership.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { UsageService } from './UsageService.js'

const options = { windowMs: 5000, lateMs: 10_000, leaseMs: 3000 }
/** The virtual clock starts at the start of this window. */
const WINDOW = 200

interface Entry { service: UsageService, leadership: FakeLeadership }
interface RecordedCall extends UsageReport { holder: string, token: number, atMs: number }

describe('UsageService', () => {
  let time: VirtualTime
  let store: MemoryStore
  let entries: Map<string, Entry>
  let calls: RecordedCall[]
  let outcome: (report: UsageReport) => DutyOutcome | Promise<DutyOutcome>

  const entry = (id: string): Entry => entries.get(id) as Entry
  const record = (id: string, organisation: string): void => entry(id).service.meter.recordStart(organisation, Date.now())
  const reportsOf = (window: number): Array<Record<string, number>> => calls.filter(call => call.window === window).map(({ counts }) => counts)

  function lead (id: string, epoch: number): void {
    for (const { leadership } of entries.values()) if (leadership.validEpoch() !== undefined && leadership.isLeader) leadership.lose()
    for (const [other, { leadership }] of entries) if (other !== id) leadership.latestKnownEpoch = epoch
    entry(id).leadership.gain(epoch)
  }

  function start (id: string): void {
    const leadership = new FollowableLeadership()
    const client = {
      reportUsage: async (report: UsageReport, holder: string, token: number) => {
        calls.push({ ...report, holder, token, atMs: performance.now() })
        return await outcome(report)
      }
    }
    const { logger, metrics } = testServices(id)
    const send = { send: async (contribution: Parameters<UsageService['accept']>[0]) => [...entries.values()].find(({ leadership }) => leadership.isLeader)?.service.accept(contribution) }
    const service = new UsageService(store, leadership, client, send, { ...options, entryId: id }, logger, metrics)
    service.start()
    entries.set(id, { service, leadership })
  }

  function kill (id: string): void {
    entry(id).leadership.lose()
    entry(id).service.dispose()
    entries.delete(id)
  }

  beforeEach(() => {
    time = new VirtualTime()
    store = new MemoryStore()
    entries = new Map()
    calls = []
    outcome = () => 'accepted'
    for (const id of ['a', 'b', 'c']) start(id)
  })
  afterEach(() => {
    for (const { service } of entries.values()) service.dispose()
    time.restore()
  })

  // Guards against missing, double and late reports when nothing fails.
  it('reports each window once and in time, also an empty one, with the requests of all entries', async () => {
    lead('a', 1)
    for (const id of ['a', 'b', 'b', 'c']) record(id, 'x')
    record('c', 'y')
    await time.advance(31_000, 50)
    for (let window = WINDOW; window < WINDOW + 5; window++) {
      expect(reportsOf(window)).toEqual([window === WINDOW ? { x: 4, y: 1 } : {}])
      const call = calls.find(({ window: called }) => called === window)
      expect((call?.atMs ?? 0) < (window + 1) * options.windowMs + options.lateMs).toEqual(true)
    }
    expect(calls.every(({ holder, token }) => holder === 'a' && token === 1)).toEqual(true)
  })

  // Guards against two reports with different counts when the holder is lost after the commit.
  it('lets the next holder repeat the committed counts, and send those of entries that were not committed', async () => {
    lead('a', 1)
    outcome = ({ window }) => window === WINDOW ? new Promise<DutyOutcome>(() => {}) : 'accepted'
    record('b', 'x')
    await time.advance(5000, 50)
    record('c', 'x')
    // The call for the first window is under way without a response; the second window is not committed.
    await time.advance(6500, 50)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
    outcome = () => 'accepted'
    const lostAtMs = performance.now()
    kill('a')
    lead('b', 2)
    await time.advance(15_000, 50)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }, { x: 1 }])
    expect(reportsOf(WINDOW + 1)).toEqual([{ x: 1 }])
    const [firstOfB] = calls.filter(({ holder }) => holder === 'b')
    expect((firstOfB?.atMs ?? 0) - lostAtMs >= options.leaseMs).toEqual(true)
  })

  // Guards against reports that are committed late by the store after the next holder has decided.
  it('reports one set of counts when the commit of the former holder is executed late', async () => {
    lead('a', 1)
    record('a', 'x')
    record('b', 'x')
    await time.advance(9500, 50)
    store.appendOutcome = request => request.topic === 'keyed.usage' && request.records.length > 0 ? { lateMs: 2000 } : 'ok'
    await time.advance(1000, 50)
    store.appendOutcome = () => 'ok'
    kill('a')
    lead('b', 2)
    await time.advance(15_000, 50)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
  })

  it('keeps the counts while the store is down, and reports them afterwards', async () => {
    lead('a', 1)
    await time.advance(2000, 50)
    store.isDown = true
    record('b', 'x')
    await time.advance(30_000, 50)
    expect(reportsOf(WINDOW)).toEqual([])
    store.isDown = false
    await time.advance(5000, 50)
    expect(reportsOf(WINDOW)).toEqual([{ x: 1 }])
    expect([...new Set(calls.map(({ window }) => window))].length).toEqual(calls.length)
  })

  // Guards against calls above the limit of the platform, and against reports that are given up too early or never.
  it('repeats a report with the same counts while the platform is down, and gives it up after five minutes', async () => {
    lead('a', 1)
    record('b', 'x')
    outcome = () => 'retry'
    await time.advance(60_000, 50)
    const perSecond = new Map<number, number>()
    for (const { atMs } of calls) perSecond.set(Math.floor(atMs / 1000), (perSecond.get(Math.floor(atMs / 1000)) ?? 0) + 1)
    expect(Math.max(...perSecond.values()) <= 5).toEqual(true)
    expect(reportsOf(WINDOW).length > 1 && reportsOf(WINDOW).every(({ x }) => x === 1)).toEqual(true)
    await time.advance(260_000, 200)
    outcome = () => 'accepted'
    calls = []
    await time.advance(30_000, 200)
    const windows = calls.map(({ window }) => window)
    expect(windows.includes(WINDOW)).toEqual(false)
    expect(new Set(windows).size).toEqual(windows.length)
    expect(windows.length > 55).toEqual(true)
  })

  // Guards against calls of a holder whose successor has acted, and of one without a valid lease.
  it('stops for the term after 409, and makes no call without a valid lease', async () => {
    lead('a', 1)
    outcome = () => 'fenced'
    await time.advance(20_000, 50)
    expect(calls.length).toEqual(1)
    outcome = () => 'accepted'
    lead('b', 2)
    await time.advance(10_000, 50)
    expect(calls.filter(({ holder }) => holder === 'a').length).toEqual(1)
    // The next holder covers what its predecessor committed or missed, and nothing before the first report.
    const windows = calls.filter(({ holder }) => holder === 'b').map(({ window }) => window)
    expect([...windows].sort((x, y) => x - y)).toEqual(Array.from({ length: windows.length }, (_, index) => WINDOW - 2 + index))
    expect(windows.includes(WINDOW + 3)).toEqual(true)
    entry('b').leadership.isValid = false
    const count = calls.length
    await time.advance(20_000, 50)
    expect(calls.length).toEqual(count)
  })
})

/** A leadership whose entry may know the epoch of another leader. */
class FollowableLeadership extends FakeLeadership {
  private _isOwn = false

  override get isLeader (): boolean { return this._isOwn }
  override validEpoch (): number | undefined { return this._isOwn && this.isValid ? this.latestKnownEpoch : undefined }

  override gain (epoch: number): void {
    this._isOwn = true
    super.gain(epoch)
  }

  override lose (): void {
    this._isOwn = false
    super.lose()
  }
}
