import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { HookedStoreClient } from '../store/test/HookedStoreClient.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import type { Batch } from './Batch.js'
import type { BatchReadOutcome } from './BatchReadOutcome.js'
import { BatchStore } from './BatchStore.js'
import { StoredBatchReader } from './StoredBatchReader.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

/** `record_bytes` and `call_bytes` of the platform's store. */
const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const ITEMS = 8
const BATCH_ID = 'batch-1'
const RETENTION_MS = 1_000_000_000
const DEADLINE_MS = 1_000_000
/** Longer than a response can be late, and than all retries together. */
const SETTLE_MS = 8000
const STEP_MS = 50
/** Limit of the texts in one response, in characters. */
const MAX_PAGE_CHARS = 700_000
const NUM_RUNS = 40
const { logger, metrics } = testServices()

type Outcome = ReturnType<MemoryStore['appendOutcome']>
const sizeArbitrary = fc.constantFrom(0, 1, 100, 150_000, 262_144, 400_000, 900_000)
const usualOutcomes = fc.constantFrom<Outcome[]>('ok', 'ok', 'ok', 'ok', 'refused', 'answer_lost', { lateMs: 300 }, { lateMs: 6000 })
const anyOutcomes = fc.oneof({ weight: 4, arbitrary: usualOutcomes }, { weight: 1, arbitrary: fc.constant<Outcome>('rejected') })
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never
const stepArbitrary = fc.record({
  kind: fc.oneof({ weight: 8, arbitrary: fc.constant('result' as const) }, { weight: 2, arbitrary: fc.constantFrom('progress' as const, 'takeover', 'end') }, { weight: 1, arbitrary: fc.constant('none' as const) }),
  item: fc.nat(ITEMS - 1),
  bytes: sizeArbitrary,
  waitMs: fc.constantFrom(0, 0, 0, 50, 400, 2000)
})
type Read = typeof readArbitrary extends fc.Arbitrary<infer R> ? R : never
/** A read, what the leader does before it, and what it does before each of its pages. */
const readArbitrary = fc.record({ from: fc.nat(ITEMS), itemIndex: fc.nat(ITEMS - 1), before: fc.array(stepArbitrary, { maxLength: 6 }), during: fc.array(stepArbitrary, { maxLength: 8 }) })

/** Successive leaders of one batch, and a reader that reads while they write. */
class World {
  private readonly _memory = new MemoryStore()
  private readonly _client = new HookedStoreClient(this._memory)
  private readonly _reader = new StoredBatchReader(this._client, logger, metrics)
  private _leader = new BatchStore(this._memory, 1, RETENTION_MS, logger)
  private _epoch = 1
  private _runs = 0
  /** Results that a leader or the reader has listed, by position. */
  private readonly _seen: string[] = []

  /** `isStrict` if no append is rejected, so that every result follows the previous one in the store. */
  constructor (private readonly _time: VirtualTime, private readonly _outcomes: Outcome[], private readonly _isStrict: boolean) {
    this._memory.maxRecordBytes = RECORD_BYTES
    this._memory.maxCallBytes = CALL_BYTES
  }

  async submit (bodyBytes: number): Promise<void> {
    await this._leader.open()
    for (const id of ['batch-0', 'batch-10', 'batch-2', BATCH_ID]) {
      const items = Array.from({ length: ITEMS }, (_, index) => ({ ...createItem(`i${index}`, 'g'), bodyBase64: String(index).repeat(bodyBytes) }))
      const batch = (await this._leader.submit(createSpec({ id, itemCount: ITEMS }), items))._unsafeUnwrap()
      if (id !== BATCH_ID) await this._leader.addResult(batch, { itemId: 'i0', state: 'completed', text: id, versions: [1] })
    }
    this._memory.appendOutcome = () => this._outcomes.shift() ?? 'ok'
  }

  async read ({ from, itemIndex, before, during }: Read): Promise<void> {
    for (const step of before) await this._run(step)
    const steps = [...during]
    this._client.beforePage = async () => {
      const step = steps.shift()
      if (step !== undefined) await this._run(step)
    }
    await this._checkResults(from)
    const wasEnded = this._batch().isEnded
    const outcome = await this._reader.findItem(BATCH_ID, `i${itemIndex}`, undefined, performance.now() + DEADLINE_MS)
    this._checkBody(itemIndex, outcome, wasEnded)
    expect((await this._reader.findItem(BATCH_ID, 'unknown', undefined, performance.now() + DEADLINE_MS)).kind === 'body').toEqual(false)
  }

  async settle (): Promise<void> {
    this._client.beforePage = async () => {}
    await this._time.advance(SETTLE_MS, STEP_MS)
    await this._checkResults(0)
    await this._takeOver()
    await this._checkResults(0)
    this._leader.dispose()
  }

  /** The reader lists what a leader had listed before the read, and nothing that a leader lists otherwise. */
  private async _checkResults (from: number): Promise<void> {
    const listedBefore = this._recordListed()
    const outcome = await this._reader.read(BATCH_ID, from, undefined, performance.now() + DEADLINE_MS)
    if (this._isStrict || outcome.kind === 'results') this._checkPage(outcome, from, listedBefore)
    else expect(outcome.kind).toEqual('unavailable')
    this._recordListed()
  }

  private _checkPage (outcome: BatchReadOutcome, from: number, listedBefore: number): void {
    if (outcome.kind !== 'results') throw new Error(`the batch is ${outcome.kind}`)
    const { results, next, total } = outcome
    expect([next, total]).toEqual([from + results.length, ITEMS])
    for (const [index, result] of results.entries()) this._recordSeen(from + index, result.itemId, result.text)
    const chars = results.reduce((sum, { text }) => sum + text.length, 0)
    expect(results.length <= 1 || chars <= MAX_PAGE_CHARS).toEqual(true)
    const isPageFull = chars + (this._seen[next]?.length ?? 0) > MAX_PAGE_CHARS && results.length > 0
    if (this._isStrict && next < listedBefore) expect(isPageFull).toEqual(true)
    if (from < listedBefore) expect(results.length).toBeGreaterThan(0)
  }

  private _checkBody (index: number, outcome: Awaited<ReturnType<StoredBatchReader['findItem']>>, wasEnded: boolean): void {
    if (outcome.kind === 'body') expect(outcome.bodyBase64.replaceAll(String(index), '')).toEqual('')
    if (wasEnded) expect(outcome.kind).toEqual('absent')
    if (outcome.kind === 'absent') expect(this._memory.keys('keyed.batches')).toInclude(`end/${BATCH_ID}`)
  }

  private async _run ({ kind, item, bytes, waitMs }: Step): Promise<void> {
    const batch = this._batch()
    const state = batch.items[item]
    if (kind === 'takeover') await this._takeOver()
    else if (kind === 'end') this._ignore(this._leader.end(batch))
    else if (kind !== 'none' && state !== undefined && state.status !== 'finished') {
      // Each run of an item generates another text.
      const text = `${state.item.id}:${++this._runs}`.padEnd(bytes, '.')
      if (kind === 'progress') {
        state.resumeFrom({ events: [text], lastEventId: 1, versions: [1], isComplete: true })
        this._ignore(this._leader.saveProgress([{ batch, state }]))
      } else {
        state.status = 'finished'
        this._ignore(this._leader.addResult(batch, { itemId: state.item.id, state: 'completed', text, versions: [1] }))
      }
    }
    await this._time.advance(waitMs, STEP_MS)
    this._recordListed()
  }

  private async _takeOver (): Promise<void> {
    this._recordListed()
    this._leader.dispose()
    this._leader = new BatchStore(this._memory, ++this._epoch, RETENTION_MS, logger)
    // The leader of a term repeats a restore that the store rejects.
    for (let isOpen = false; !isOpen;) {
      const opened = this._leader.open()
      await this._time.advance(SETTLE_MS, STEP_MS)
      isOpen = (await opened).isOk()
    }
    await this._leader.loadTexts(this._batch(), 0, Number.POSITIVE_INFINITY)
    this._recordListed()
  }

  /** Records what the leader lists, and returns the number of its results. */
  private _recordListed (): number {
    const results = this._batch().listedResults()
    for (const [position, { itemId, text }] of results.entries()) this._recordSeen(position, itemId, text)
    return results.length
  }

  private _recordSeen (position: number, itemId: string, text: string): void {
    const result = `${itemId} ${text}`
    this._seen[position] ??= result
    // Compared without the matcher, which would print the texts.
    if (this._seen[position] !== result) throw new Error(`position ${position}: ${result.slice(0, 20)} after ${this._seen[position]?.slice(0, 20)}`)
  }

  private _batch (): Batch {
    const batch = this._leader.find(BATCH_ID)
    if (batch === undefined) throw new Error('the batch is lost')
    return batch
  }

  /** Whether a write succeeds is of no interest, since only what becomes durable counts. */
  private _ignore (write: Promise<unknown>): void {
    write.catch(() => undefined)
  }
}

describe('StoredBatchReader and successive leaders', () => {
  let time: VirtualTime

  beforeEach(() => { time = new VirtualTime() })
  afterEach(() => time.restore())

  const check = async (outcomeArbitrary: fc.Arbitrary<Outcome>, isStrict: boolean): Promise<void> => {
    const reads = fc.array(readArbitrary, { minLength: 1, maxLength: 4 })
    await fc.assert(fc.asyncProperty(fc.constantFrom(1, 30_000, 120_000, 300_000), fc.array(outcomeArbitrary, { maxLength: 30 }), reads, async (bodyBytes, outcomes, reads) => {
      const world = new World(time, [...outcomes], isStrict)
      await world.submit(bodyBytes)
      for (const read of reads) await world.read(read)
      await world.settle()
    }), { numRuns: Number(process.env['MODEL_RUNS'] ?? NUM_RUNS), includeErrorInReport: true })
  }

  // Guards against a result that is missing, incomplete or at another position, whatever the leaders write between pages.
  it('list the same results at the same positions with lost, refused and late appends and changes of the leader', async () => {
    await check(usualOutcomes, true)
  })

  // Guards against a position with another result than before, when a rejected append leaves a gap.
  it('list no two results at one position if the store also rejects appends', async () => {
    await check(anyOutcomes, false)
  })
})
