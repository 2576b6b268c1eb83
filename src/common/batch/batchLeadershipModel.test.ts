import { describe, it, mock } from 'node:test'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { FaultyStoreClient } from '../store/test/FaultyStoreClient.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import type { BatchReadOutcome } from './BatchReadOutcome.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import type { IModelFaults } from './test/IModelFaults.js'
import { ModelEntry } from './test/ModelEntry.js'

const ENTRIES = 3
const ITEMS = 3
const TICK_MS = 25
const SUBMIT_INTERVAL_TICKS = 16
const READ_INTERVAL_TICKS = 2
/** Batches that are read before the end: the latest of them. */
const READ_BATCHES = 6
const LEADER_CHECK_INTERVAL_TICKS = 10
const TERM_FAULT_SHARE = 0.15
const LEADER_TOPIC = 'keyed.leader'
const REJECTED_PER_LOST = 12
/** Below the shortest time-out of a renewal. */
const SLOW_RESPONSE_MS = 300
/** Time without faults at the start, in which a leader is elected. */
const START_MS = 1500
/** Time under faults after all entries were killed and started again. */
const RESTART_MS = 3000
/** Longer than a late append may wait, and than a claim and a restore need. */
const SETTLE_MS = 9000
const NUM_RUNS = 25

type Fault = ConstructorParameters<typeof FaultyStoreClient>[1] extends () => infer F ? F : never
type AppendOutcome = ReturnType<MemoryStore['appendOutcome']>
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never

const NO_FAULT: Fault = { requestDelayMs: 0, responseDelayMs: 0, isResponseLost: false }
const delayArbitrary = fc.constantFrom(0, 0, 0, 0, 5, 40, 200, 600, 1000, 1500, 4000)
/** Most calls have no fault of their own, so that leaders are elected and accept batches between the faults. */
const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof({ weight: 6, arbitrary: fc.constant(NO_FAULT) }, {
  weight: 1,
  arbitrary: fc.record({ requestDelayMs: delayArbitrary, responseDelayMs: delayArbitrary, isResponseLost: fc.boolean() })
})
const outcomeArbitrary: fc.Arbitrary<AppendOutcome> = fc.oneof({ weight: 8, arbitrary: fc.constant<AppendOutcome>('ok') }, {
  weight: 1,
  arbitrary: fc.constantFrom<AppendOutcome[]>('refused', 'answer_lost', 'rejected', { lateMs: 300 }, { lateMs: 3000 })
})
const stepArbitrary = fc.record({
  kind: fc.constantFrom('cut off' as const, 'reconnect', 'refuse', 'permit', 'slow responses', 'fast responses', 'restart', 'release', 'suspend', 'store down', 'store up', 'reject', 'none'),
  /** Index of the entry; the leader if there is no such entry. */
  entry: fc.nat(2 * ENTRIES),
  durationMs: fc.integer({ min: 50, max: 2500 })
})

/** What callers know of one batch. */
interface KnownBatch {
  id: string
  isAccepted: boolean
  /** Whether a submission may have been accepted: its outcome is unknown, or the entry was killed before it responded. */
  isUncertain: boolean
  /** Texts by position, as they were read. */
  texts: string[]
}

/** Entries on one store, and their callers. */
class BatchModel implements IModelFaults {
  readonly store = new MemoryStore()
  readonly entries: ModelEntry[]
  private readonly _batches: KnownBatch[] = []
  private _isFaulty = false
  /** Whether the store rejects the appends of batches that have no other fault, and loses the responses to some. */
  private _isRejecting = false
  private readonly _gainedEpochs = new Set<number>()
  private _calls = 0
  private _ticks = 0
  private _violation?: string

  constructor (private readonly _time: VirtualTime, private readonly _faults: readonly Fault[], outcomes: readonly AppendOutcome[]) {
    let appends = 0
    this.store.appendOutcome = ({ topic }) => {
      if (!this._isFaulty) return 'ok'
      const outcome = outcomes[appends++ % outcomes.length] ?? 'ok'
      if (!this._isRejecting || topic === LEADER_TOPIC || outcome !== 'ok') return outcome
      return appends % REJECTED_PER_LOST === 0 ? 'answer_lost' : 'rejected'
    }
    this.entries = Array.from({ length: ENTRIES }, (_, index) => new ModelEntry(this.store, this, `e${index}`))
  }

  nextFault (): Fault {
    return this._isFaulty ? this._faults[this._calls++ % this._faults.length] ?? NO_FAULT : NO_FAULT
  }

  async run ({ kind, entry, durationMs }: Step): Promise<void> {
    const target = this.entries[entry] ?? this.entries.find(({ leadership }) => leadership.isLeader) ?? this.entries[0] as ModelEntry
    switch (kind) {
      case 'cut off': target.client.isCutOff = true; break
      case 'reconnect': target.client.isCutOff = false; break
      case 'refuse': target.client.isRefused = true; break
      case 'permit': target.client.isRefused = false; break
      case 'slow responses': target.client.extraResponseDelayMs = SLOW_RESPONSE_MS; break
      case 'fast responses': target.client.extraResponseDelayMs = 0; break
      case 'restart': this._restart([target]); break
      case 'release': target.leadership.release().catch(() => undefined); break
      case 'suspend': this._time.pause(durationMs); break
      case 'store down': this.store.isDown = true; break
      case 'store up': this.store.isDown = false; break
      case 'reject': this._isRejecting = true; break
      default:
    }
    await this.advance(durationMs)
    this._isRejecting = false
  }

  /** A second term in one epoch would repeat its sequence numbers. */
  recordGained (epoch: number): void {
    if (this._gainedEpochs.has(epoch)) this._violation ??= `epoch ${epoch} was gained twice`
    this._gainedEpochs.add(epoch)
  }

  nextTermFails (): boolean {
    return this._isFaulty && Math.random() < TERM_FAULT_SHARE
  }

  beginFaults (): void {
    this._isFaulty = true
  }

  restartAll (): void {
    this._restart(this.entries)
  }

  endFaults (): void {
    this._isFaulty = false
    this.store.isDown = false
    for (const { client } of this.entries) {
      client.isCutOff = false
      client.isRefused = false
      client.extraResponseDelayMs = 0
    }
  }

  async advance (durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      await this._time.advance(TICK_MS, TICK_MS)
      this._ticks += 1
      if (this.entries.filter(entry => entry.isLeading).length > 1) this._violation ??= 'two leaders'
      if (this._ticks % LEADER_CHECK_INTERVAL_TICKS === 0) this._observeLeaders()
      if (this._ticks % SUBMIT_INTERVAL_TICKS === 0) this._submitNext()
      if (this._ticks % READ_INTERVAL_TICKS === 0) for (const entry of this.entries) this._readSome(entry)
      if (this._violation !== undefined) throw new Error(this._violation)
    }
  }

  async checkEnd (): Promise<void> {
    const serving = this.entries.filter(({ service }) => service.isServing)
    const leader = serving[0]
    if (leader === undefined || serving.length > 1 || !leader.isLeading) throw new Error(`${serving.length} entries serve, ${this.entries.filter(entry => entry.isLeading).length} lead`)
    for (const batch of this._batches) {
      const outcome = await this._readAll(leader, batch)
      if (batch.isAccepted && outcome.kind !== 'results') throw new Error(`${batch.id} was accepted and is ${outcome.kind}`)
      if (!batch.isAccepted && !batch.isUncertain && outcome.kind === 'results') throw new Error(`${batch.id} was refused and is there`)
      if (outcome.kind === 'results') this._checkResults(batch, outcome)
    }
  }

  private _checkResults (batch: KnownBatch, outcome: Extract<BatchReadOutcome, { kind: 'results' }>): void {
    this._recordTexts(batch, 0, outcome)
    if (this._violation !== undefined) throw new Error(this._violation)
    if (outcome.results.length < batch.texts.length) throw new Error(`${batch.id} has ${outcome.results.length} of ${batch.texts.length} results that were read`)
    if (new Set(outcome.results.map(result => result.itemId)).size !== outcome.results.length) throw new Error(`an item of ${batch.id} has two positions`)
  }

  private _restart (entries: readonly ModelEntry[]): void {
    for (const entry of entries) entry.kill()
    for (const entry of entries) entry.start()
  }

  /** A leader without a lease asks other entries for a newer one, as `LeaderWatch` does. */
  private _observeLeaders (): void {
    for (const { leadership } of this.entries) {
      if (!leadership.isLeader || leadership.validEpoch() !== undefined) continue
      for (const { leadership: other } of this.entries) {
        const address = other.leaderAddress()
        if (other !== leadership && other.latestKnownEpoch !== undefined && address !== undefined) leadership.observeLeader(other.latestKnownEpoch, address)
      }
    }
  }

  /** Submits the newest batch again if it was not accepted, as trainers do, or else another one. */
  private _submitNext (): void {
    const last = this._batches.at(-1)
    const isRepeated = last !== undefined && !last.isAccepted && this._ticks % (3 * SUBMIT_INTERVAL_TICKS) !== 0
    const batch = isRepeated ? last : { id: `b${this._batches.length}`, isAccepted: false, isUncertain: false, texts: [] }
    if (!isRepeated) this._batches.push(batch)
    const entry = this.entries.find(({ service }) => service.isServing)
    if (entry === undefined) return
    const items = Array.from({ length: ITEMS }, (_, index) => createItem(`i${index}`, 'g'))
    const { incarnation } = entry
    const wasUncertain = batch.isUncertain
    batch.isUncertain = true
    entry.service.submit(createSpec({ id: batch.id, itemCount: ITEMS }), items).then(outcome => {
      if (!entry.isRunning(incarnation)) return
      if (outcome === 'accepted') batch.isAccepted = true
      if (outcome === 'refused') batch.isUncertain = wasUncertain
    }, () => { this._violation ??= 'a submission threw' })
  }

  private _readSome (entry: ModelEntry): void {
    const batch = this._batches.at(-1 - this._ticks / READ_INTERVAL_TICKS % READ_BATCHES)
    if (batch?.isAccepted !== true) return
    const { incarnation } = entry
    entry.service.read(batch.id, 0, 0).then(outcome => {
      if (!entry.isRunning(incarnation)) return
      if (outcome.kind === 'absent') this._violation ??= `${batch.id} was accepted and is absent`
      if (outcome.kind === 'results') this._recordTexts(batch, 0, outcome)
    }, () => { this._violation ??= 'a read threw' })
  }

  private async _readAll (entry: ModelEntry, batch: KnownBatch): Promise<BatchReadOutcome> {
    const reading = entry.service.read(batch.id, 0, 0)
    await this._time.advance(TICK_MS, TICK_MS)
    return await reading
  }

  private _recordTexts (batch: KnownBatch, fromPosition: number, { results, total }: Extract<BatchReadOutcome, { kind: 'results' }>): void {
    if (total !== ITEMS) this._violation ??= `${batch.id} has a total of ${total}`
    for (const [index, { text }] of results.entries()) {
      const known = batch.texts[fromPosition + index] ??= text
      if (known !== text) this._violation ??= `position ${fromPosition + index} of ${batch.id} was ${known} and is ${text}`
    }
  }
}

describe('batches of entries that are elected, cut off and killed', () => {
  // Guards against accepted batches that are gone, or that no entry serves, after a loss of all power.
  it('are readable at one leader, each position as before, once the faults have ended', async () => {
    const faults = fc.array(faultArbitrary, { minLength: 1, maxLength: 60 })
    const outcomes = fc.array(outcomeArbitrary, { minLength: 1, maxLength: 40 })
    const steps = fc.array(stepArbitrary, { minLength: 1, maxLength: 8 })
    await fc.assert(fc.asyncProperty(faults, outcomes, steps, fc.integer(), async (drawnFaults, drawnOutcomes, drawnSteps, seed) => {
      const time = new VirtualTime()
      const generator = xoroshiro128plus(seed)
      // Jitter and back-off are drawn with the seed, so that a counterexample repeats.
      mock.method(Math, 'random', () => uniformFloat64(generator))
      const model = new BatchModel(time, drawnFaults, drawnOutcomes)
      try {
        await model.advance(START_MS)
        model.beginFaults()
        for (const step of drawnSteps) await model.run(step)
        model.restartAll()
        await model.advance(RESTART_MS)
        model.endFaults()
        await model.advance(SETTLE_MS)
        await model.checkEnd()
      } finally {
        for (const entry of model.entries) entry.kill()
        time.restore()
      }
    }), { numRuns: Number(process.env['MODEL_RUNS'] ?? NUM_RUNS), includeErrorInReport: true })
  })
})
