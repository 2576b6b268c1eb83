import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { errAsync } from 'neverthrow'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { Leadership } from '../store/Leadership.js'
import { FaultyStoreClient } from '../store/test/FaultyStoreClient.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { BatchService } from './BatchService.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import { IdleRunner } from './test/IdleRunner.js'

const ENTRIES = 3
const TICK_MS = 10
const RETENTION_MS = 1_000_000
/** Batches with two records each, in pages of three: 20 pages. */
const BATCHES = 30
const PAGES = 20
const { logger } = testServices()

/** Entries on a store whose responses are slow, and what the callers of the entries would see. */
class SlowStoreModel {
  readonly store = new MemoryStore()
  readonly gainedEpochs: number[] = []
  /** Whether the store rejects a page; by its number. */
  isPageRejected: (number: number) => boolean = () => false
  private readonly _random = xoroshiro128plus(42)
  private readonly _entries: Array<{ leadership: Leadership, service: BatchService }> = []
  private _pageCount = 0

  constructor (private readonly _time: VirtualTime, private readonly _minResponseMs: number, private readonly _maxResponseMs: number) {
    // Jitter and back-off are drawn with the seed, so that a failure repeats.
    mock.method(Math, 'random', () => uniformFloat64(this._random))
    for (let number = 0; number < BATCHES; number++) {
      this.store.write('keyed.batches', `items/b${number}/000000`, [createItem('a', 'g')])
      this.store.write('keyed.batches', `batch/b${number}`, createSpec({ id: `b${number}` }))
    }
    for (let index = 0; index < ENTRIES; index++) this._entries.push(this._createEntry(index))
  }

  get isServing (): boolean {
    return this._entries.some(({ service }) => service.isServing)
  }

  /** Returns the share of the time in which an entry had a valid lease. */
  async advance (durationMs: number): Promise<number> {
    let leaseMs = 0
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      await this._time.advance(TICK_MS, TICK_MS)
      if (this._entries.some(({ leadership }) => leadership.validEpoch() !== undefined)) leaseMs += TICK_MS
    }
    return leaseMs / durationMs
  }

  dispose (): void {
    for (const { leadership, service } of this._entries) {
      service.dispose()
      leadership.dispose()
    }
  }

  private _createEntry (index: number): { leadership: Leadership, service: BatchService } {
    const client = new FaultyStoreClient(this.store, () => {
      const delayMs = this._minResponseMs + (this._maxResponseMs - this._minResponseMs) * uniformFloat64(this._random)
      return { requestDelayMs: delayMs / 2, responseDelayMs: delayMs / 2, isResponseLost: false }
    })
    const newest = client.newest.bind(client)
    client.newest = (topic, afterKey) => topic === 'keyed.batches' && this.isPageRejected(++this._pageCount)
      ? errAsync({ kind: 'unavailable', message: 'store is busy', mayTakeEffect: false })
      : newest(topic, afterKey)
    const leadership = new Leadership(client, `e${index}`, `10.0.0.${index}:1`, logger)
    const service = new BatchService(client, leadership, () => new IdleRunner() as never, RETENTION_MS, logger)
    leadership.onGained(epoch => this.gainedEpochs.push(epoch))
    leadership.start()
    return { leadership, service }
  }
}

describe('a leader on a slow store', () => {
  let time: VirtualTime
  let model: SlowStoreModel

  beforeEach(() => { time = new VirtualTime() })
  afterEach(() => {
    model.dispose()
    time.restore()
  })

  // Guards against a restore that begins again after each failed page, and does not end.
  it('restores 20 pages of which one in seven fails', async () => {
    model = new SlowStoreModel(time, 4, 8)
    model.isPageRejected = number => number % 7 === 0
    await model.advance(5000)
    expect(model.isServing).toEqual(true)
  })

  // The store can be 60 times slower than its usual 4 ms for a response and 2 ms for an append.
  it('keeps its lease, restores and serves while responses take 250 to 400 ms and appends 120 ms more', async () => {
    model = new SlowStoreModel(time, 250, 400)
    model.store.appendMs = 120
    // First reads, claim, fence, and every page at its slowest.
    await model.advance(3000 + PAGES * 400)
    expect(model.isServing).toEqual(true)
    expect(await model.advance(20_000)).toBeGreaterThanOrEqual(0.95)
    expect(model.isServing).toEqual(true)
    expect(model.gainedEpochs.length).toEqual(1)
  })
})
