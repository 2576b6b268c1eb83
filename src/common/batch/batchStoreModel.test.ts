import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { Result } from 'neverthrow'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { StoreError } from '../store/StoreError.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import type { Batch } from './Batch.js'
import { BatchStore } from './BatchStore.js'
import type { ItemState } from './record/ItemState.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

/** `record_bytes` and `call_bytes` of the platform's store. */
const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const ITEMS = 5
const BATCH_ID = 'batch-1'
const RETENTION_MS = 1_000_000
/** Longer than a response can be late, and than all retries together. */
const SETTLE_MS = 8000
const STEP_MS = 50
const NUM_RUNS = 40
/** More than the rejected appends of one run. */
const MAX_ATTEMPTS = 50
const { logger } = testServices()

const sizeArbitrary = fc.constantFrom(1, 100, 2100, 150_000, 199_990, 262_144, 400_000, 900_000)
type Outcome = ReturnType<MemoryStore['appendOutcome']>
const outcomeArbitrary: fc.Arbitrary<Outcome> = fc.constantFrom<Outcome[]>('ok', 'ok', 'ok', 'ok', 'refused', 'answer_lost', 'rejected', { lateMs: 300 }, { lateMs: 6000 })
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never
const stepArbitrary = fc.record({
  kind: fc.constantFrom('progress' as const, 'progress', 'result', 'result', 'takeover', 'end'),
  item: fc.nat(ITEMS - 1),
  bytes: sizeArbitrary,
  events: fc.integer({ min: 1, max: 12 }),
  waitMs: fc.constantFrom(0, 0, 50, 400, 2000)
})

/** Successive leaders of one batch, and what readers have seen of its results. */
class Leaders {
  readonly memory = new MemoryStore()
  private _store?: BatchStore
  private _epoch = 0
  /** Texts at the positions that a reader could have read. */
  private readonly _read: string[] = []

  constructor (private readonly _time: VirtualTime, private readonly _outcomes: Outcome[]) {
    this.memory.maxRecordBytes = RECORD_BYTES
    this.memory.maxCallBytes = CALL_BYTES
    this.memory.appendOutcome = () => this._outcomes.shift() ?? 'ok'
  }

  async submit (bodyBytes: readonly number[]): Promise<void> {
    await this.takeOver()
    const items = bodyBytes.map((bytes, index) => ({ ...createItem(`i${index}`, 'g'), bodyBase64: 'é'.repeat(bytes / 2) }))
    await this._untilOk(async () => await this._store?.submit(createSpec({ itemCount: items.length }), items))
    this._checkItems(items.map(item => item.bodyBase64))
  }

  async run (step: Step): Promise<void> {
    const batch = this._batch()
    const state = batch.items[step.item]
    if (step.kind === 'takeover') await this.takeOver()
    else if (step.kind === 'end') this._ignore(this._store?.end(batch))
    else if (state !== undefined && state.status !== 'finished') this._change(batch, state, step)
    await this._time.advance(step.waitMs, STEP_MS)
    this._recordRead()
  }

  /** The next leader restores the batch, with all that could have been read. */
  async takeOver (): Promise<void> {
    this._recordRead()
    this._store?.dispose()
    const store = new BatchStore(this.memory, ++this._epoch, RETENTION_MS, logger)
    await this._untilOk(async () => await store.open())
    this._store = store
    if (this._epoch > 1) await this._checkRestored()
  }

  private _change (batch: Batch, state: ItemState, { kind, events, bytes }: Step): void {
    for (let count = 0; count < events; count++) state.progress.events.push(`${state.item.id}:${state.progress.events.length + 1}`.padEnd(bytes / events, '.'))
    state.progress.lastEventId = state.progress.events.length
    state.progress.versions = [1]
    if (kind === 'progress') return this._ignore(this._store?.saveProgress([{ batch, state }]))
    state.status = 'finished'
    this._ignore(this._store?.addResult(batch, { itemId: state.item.id, state: 'completed', text: state.progress.events.join('\n'), versions: [1] }))
  }

  private async _checkRestored (): Promise<void> {
    const batch = this._batch()
    const loaded = this._store?.loadTexts(batch, 0, Number.POSITIVE_INFINITY)
    await this._time.advance(SETTLE_MS, STEP_MS)
    expect((await loaded)?.isOk()).toEqual(true)
    expect(batch.listedResults().slice(0, this._read.length).map(result => result.text)).toEqual(this._read)
    for (const { item, progress } of batch.items) {
      expect(progress.events.map(data => data.replace(/\.*$/, ''))).toEqual(progress.events.map((_, index) => `${item.id}:${index + 1}`))
    }
  }

  /** Repeats what the store has rejected; everything else is repeated by the journal. */
  private async _untilOk (write: () => Promise<Result<unknown, StoreError> | undefined>): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const writing = write()
      await this._time.advance(SETTLE_MS, STEP_MS)
      if ((await writing)?.isOk() === true) return
    }
    throw new Error('the store accepts no record')
  }

  private _checkItems (bodies: readonly string[]): void {
    expect(this._batch().items.map(state => state.item.bodyBase64)).toEqual([...bodies])
  }

  private _recordRead (): void {
    const batch = this._store?.find(BATCH_ID)
    if (batch === undefined || batch.unloadedTextCount > 0) return
    for (const [position, result] of batch.listedResults().entries()) this._read[position] ??= result.text
  }

  private _batch (): Batch {
    const batch = this._store?.find(BATCH_ID)
    if (batch === undefined) throw new Error('the batch is lost')
    return batch
  }

  /** A write that a leader has not seen end is of no interest to it after the takeover. */
  private _ignore (write: Promise<unknown> | undefined): void {
    write?.catch(() => undefined)
  }
}

describe('batches of successive leaders', () => {
  let time: VirtualTime

  beforeEach(() => { time = new VirtualTime() })
  afterEach(() => time.restore())

  // Guards against accepted work that is lost, whatever the journal meets (review/1).
  it('keep their items and results under any sizes, refusals, lost and late appends and changes of the leader', async () => {
    const bodies = fc.array(sizeArbitrary, { minLength: ITEMS, maxLength: ITEMS })
    await fc.assert(fc.asyncProperty(bodies, fc.array(outcomeArbitrary, { maxLength: 40 }), fc.array(stepArbitrary, { minLength: 1, maxLength: 14 }), async (bodyBytes, outcomes, steps) => {
      const leaders = new Leaders(time, [...outcomes])
      await leaders.submit(bodyBytes)
      for (const step of steps) await leaders.run(step)
      await time.advance(SETTLE_MS, STEP_MS)
      await leaders.takeOver()
      await leaders.takeOver()
    }), { numRuns: Number(process.env['MODEL_RUNS'] ?? NUM_RUNS), includeErrorInReport: true })
  })
})
