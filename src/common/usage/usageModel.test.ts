import { describe, it, mock } from 'node:test'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { DutyOutcome } from '../duty/DutyOutcome.js'
import type { UsageReport } from '../duty/UsageReport.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { Leadership } from '../store/Leadership.js'
import { FaultyStoreClient } from '../store/test/FaultyStoreClient.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import type { UsageContribution } from './UsageContribution.js'
import type { UsageReceipt } from './UsageReceipt.js'
import { UsageService } from './UsageService.js'

const ENTRIES = 3
const WINDOW_MS = 2000
const LATE_MS = 10_000
const LEASE_MS = 3000
const STEP_MS = 25
const REQUEST_INTERVAL_MS = 250
/** Time after the faults in which the reports of all windows so far are sent. */
const SETTLE_MS = 24_000
/** Windows that began this long after the faults contain all requests. */
const RECOVERY_MS = 9000
const HOP_TIMEOUT_MS = 800
/** Longer delays make the clock of an entry appear wrong, see `UsageClock.test.ts`. */
const MAX_HOP_DELAY_MS = 900
const NUM_RUNS = 40
const { logger, metrics } = testServices()

type Fault = ConstructorParameters<typeof FaultyStoreClient>[1] extends () => infer F ? F : never
interface PlatformCall extends UsageReport { holder: string, token: number, sentAtMs: number, isExecuted: boolean }

const NO_FAULT: Fault = { requestDelayMs: 0, responseDelayMs: 0, isResponseLost: false }
const delayArbitrary = fc.constantFrom(0, 0, 0, 0, 5, 40, 200, 600, 1000, 1500, 4000)
const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  requestDelayMs: delayArbitrary,
  responseDelayMs: delayArbitrary,
  isResponseLost: fc.constantFrom(false, false, false, false, true)
})
const stepArbitrary = fc.record({
  kind: fc.constantFrom('cut off' as const, 'reconnect', 'restart', 'release', 'suspend', 'platform down', 'platform up', 'store down', 'store up', 'none'),
  /** Index of the entry; the leader if there is no such entry. */
  entry: fc.nat(2 * ENTRIES),
  durationMs: fc.integer({ min: 500, max: 10_000 })
})

/** One entry, whose calls to the store, the leader and the platform are delayed, executed late and lose their responses. */
class ModelEntry {
  readonly client: FaultyStoreClient
  leadership!: Leadership
  usage!: UsageService
  private _incarnation = 0

  constructor (store: MemoryStore, private readonly _model: UsageModel, private readonly _name: string) {
    this.client = new FaultyStoreClient(store, () => _model.nextFault())
    this.start()
  }

  get address (): string {
    return `10.0.0.1:${this._name}`
  }

  restart (): void {
    this.dispose()
    this.start()
  }

  dispose (): void {
    this.usage.dispose()
    this.leadership.dispose()
  }

  start (): void {
    this._incarnation += 1
    this.leadership = new Leadership(this.client, `${this._name}#${this._incarnation}`, this.address, logger)
    const client = { reportUsage: async (report: UsageReport, holder: string, token: number) => await this._model.report(report, holder, token) }
    const sender = { send: async (contribution: UsageContribution) => await this._model.passOn(this.leadership.leaderAddress(), contribution) }
    const options = { entryId: this._name, windowMs: WINDOW_MS, lateMs: LATE_MS, leaseMs: LEASE_MS }
    this.usage = new UsageService(this.client, this.leadership, client, sender, options, logger, metrics)
    this.leadership.start()
    this.usage.start()
  }
}

/** The links between entries and the platform, and what the platform received. */
class UsageModel {
  readonly calls: PlatformCall[] = []
  readonly recorded = new Map<number, number>()
  entries: ModelEntry[] = []
  isFaulty = true
  isPlatformDown = false
  private _faultCount = 0

  constructor (private readonly _faults: readonly Fault[]) {}

  nextFault (): Fault {
    return this.isFaulty ? this._faults[this._faultCount++ % this._faults.length] ?? NO_FAULT : NO_FAULT
  }

  record (entry: ModelEntry): void {
    const window = Math.floor(Date.now() / WINDOW_MS)
    this.recorded.set(window, (this.recorded.get(window) ?? 0) + 1)
    entry.usage.meter.recordStart('org', Date.now())
  }

  async report (report: UsageReport, holder: string, token: number): Promise<DutyOutcome> {
    const call: PlatformCall = { ...report, holder, token, sentAtMs: performance.now(), isExecuted: false }
    this.calls.push(call)
    if (this.isPlatformDown) return 'retry'
    return await this._transmit<DutyOutcome>(() => {
      call.isExecuted = true
      return 'accepted'
    }) ?? 'retry'
  }

  async passOn (address: string | undefined, contribution: UsageContribution): Promise<UsageReceipt | undefined> {
    const target = this.entries.find(entry => entry.address === address)
    return target === undefined ? undefined : await this._transmit(() => target.usage.accept(contribution), MAX_HOP_DELAY_MS)
  }

  /** Executes a call with the next fault; undefined after a time-out, after which it may still be executed. */
  private async _transmit<T> (execute: () => T, maxDelayMs = Number.POSITIVE_INFINITY): Promise<T | undefined> {
    const { requestDelayMs, responseDelayMs, isResponseLost } = this.nextFault()
    return await new Promise(resolve => {
      setTimeout(() => resolve(undefined), HOP_TIMEOUT_MS)
      setTimeout(() => {
        const result = execute()
        if (!isResponseLost) setTimeout(() => resolve(result), responseDelayMs)
      }, Math.min(requestDelayMs, maxDelayMs))
    })
  }
}

describe('usage reports under all interleavings that the model draws', () => {
  it('have one set of counts for each window, from one holder at a time, without gaps and without requests that nobody sent', async () => {
    await fc.assert(fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 80 }), fc.array(stepArbitrary, { minLength: 3, maxLength: 10 }), fc.integer(), async (faults, steps, seed) => {
      const time = new VirtualTime()
      const generator = xoroshiro128plus(seed)
      // Jitter and back-off are drawn with the seed, so that a counterexample repeats.
      mock.method(Math, 'random', () => uniformFloat64(generator))
      const store = new MemoryStore()
      const model = new UsageModel(faults)
      const entries = model.entries = Array.from({ length: ENTRIES }, (_, index) => new ModelEntry(store, model, `e${index}`))
      let elapsedMs = 0
      const advance = async (durationMs: number): Promise<void> => {
        for (const untilMs = elapsedMs + durationMs; elapsedMs < untilMs; elapsedMs += STEP_MS) {
          if (elapsedMs % REQUEST_INTERVAL_MS === 0) for (const entry of entries) model.record(entry)
          await time.advance(STEP_MS, STEP_MS)
        }
      }
      try {
        for (const { kind, entry, durationMs } of steps) {
          const target = entries[entry] ?? entries.find(item => item.leadership.isLeader) ?? entries[0] as ModelEntry
          if (kind === 'cut off') target.client.isCutOff = true
          else if (kind === 'reconnect') target.client.isCutOff = false
          else if (kind === 'restart') target.restart()
          else if (kind === 'release') target.leadership.release().catch(() => undefined)
          else if (kind === 'suspend') time.pause(durationMs)
          else if (kind.startsWith('platform')) model.isPlatformDown = kind === 'platform down'
          else if (kind.startsWith('store')) store.isDown = kind === 'store down'
          await advance(durationMs)
        }
        model.isFaulty = false
        model.isPlatformDown = false
        store.isDown = false
        for (const entry of entries) {
          entry.client.isCutOff = false
          entry.restart()
        }
        const recoveredAtMs = Date.now() + RECOVERY_MS
        await advance(SETTLE_MS)
        check(model, Math.ceil(recoveredAtMs / WINDOW_MS), Math.floor((Date.now() - LATE_MS) / WINDOW_MS))
      } finally {
        for (const entry of entries) entry.dispose()
        time.restore()
        // Drops the record of all calls, which would fill the memory after some hundred runs.
        mock.reset()
      }
    }), { numRuns: NUM_RUNS })
  })
})

/** `firstWhole` is the first window without faults, `lastDue` the last one whose report is due. */
function check ({ calls, recorded }: UsageModel, firstWhole: number, lastDue: number): void {
  const counts = new Map<number, string>()
  const holders = new Map<number, string>()
  for (const call of calls) {
    const { window, token, holder } = call
    const text = JSON.stringify(call.counts)
    if ((counts.get(window) ?? text) !== text) throw new Error(`window ${window} was sent with ${counts.get(window)} and ${text}`)
    counts.set(window, text)
    if ((call.counts.org ?? 0) > (recorded.get(window) ?? 0)) throw new Error(`window ${window} was sent with ${text} for ${recorded.get(window)} requests`)
    if ((holders.get(token) ?? holder) !== holder) throw new Error(`token ${token} has two holders`)
    holders.set(token, holder)
  }
  calls.forEach((call, index) => {
    const other = calls.findLastIndex((earlier, position) => position < index && earlier.holder !== call.holder)
    const before = calls.findLast((earlier, position) => position < other && earlier.holder === call.holder)
    if (before !== undefined && call.sentAtMs - before.sentAtMs < LEASE_MS) throw new Error(`${call.holder} acted again ${call.sentAtMs - before.sentAtMs} ms after its last call before another holder`)
  })
  const executed = new Set(calls.filter(call => call.isExecuted).map(({ window }) => window))
  for (let window = Math.min(...executed); window <= lastDue; window++) {
    if (!executed.has(window)) throw new Error(`window ${window} has no report`)
    if (window >= firstWhole && counts.get(window) !== JSON.stringify({ org: recorded.get(window) })) throw new Error(`window ${window} was sent with ${counts.get(window)} for ${recorded.get(window)} requests`)
  }
}
