import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { LimitedStoreClient } from '../store/test/LimitedStoreClient.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { StoredBatchReader } from './StoredBatchReader.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

/** 31 Mbit/s, as in the tests of text loads. */
const BYTES_PER_MS = 3875
const BATCHES = 24
const RESULTS = 20
const TEXT_CHARS = 50_000
const BODY_CHARS = 5000
/** Time from the arrival of a read without a wait until its response is due. */
const READ_MS = 1300
const RETRY_INTERVAL_MS = 500
const PATIENCE_MS = 10_000
const { logger, metrics } = testServices()
const codec = new BatchRecordCodec(logger)

describe('stored reads on a slow link', () => {
  let time: VirtualTime
  let reader: StoredBatchReader

  beforeEach(() => {
    time = new VirtualTime()
    const memory = new MemoryStore()
    for (let index = 0; index < BATCHES; index++) writeBatch(memory, idOf(index))
    reader = new StoredBatchReader(new LimitedStoreClient(memory, BYTES_PER_MS), logger, metrics)
  })
  afterEach(() => time.restore())

  const idOf = (index: number): string => `batch-${String(index).padStart(3, '0')}`
  const writeBatch = (memory: MemoryStore, id: string): void => {
    const items = Array.from({ length: RESULTS }, (_, index) => ({ ...createItem(`${id}-${index}`, 'g'), bodyBase64: 'b'.repeat(BODY_CHARS) }))
    const results = items.flatMap((item, position) => codec.encodeResult(id, position, { itemId: item.id, state: 'completed', versions: [1], text: 't'.repeat(TEXT_CHARS) }))
    for (const { key, value } of [...codec.encodeSubmission(createSpec({ id, itemCount: RESULTS }), items), ...results]) {
      if (value !== undefined) memory.writeBytes(BatchRecordCodec.topic, key, value)
    }
  }
  /** Reads the first page of a batch, again after each failure; resolves with the number of attempts. */
  const readFirstPage = async (id: string): Promise<number> => {
    const startedAtMs = performance.now()
    for (let attempts = 1; ; attempts++) {
      const outcome = await reader.read(id, 0, undefined, performance.now() + READ_MS)
      if (outcome.kind === 'results') return attempts
      if (performance.now() - startedAtMs > PATIENCE_MS) return Number.POSITIVE_INFINITY
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS))
    }
  }

  for (const callers of [1, 2, 4]) {
    // Guards against reads that exceed their deadline and start again from nothing each time, because they share the link.
    it(`serves ${callers} callers that read different batches until they succeed`, async () => {
      const attempts = Array.from({ length: callers }, async (_, index) => await readFirstPage(idOf(index * 5)))
      const all = Promise.all(attempts)
      await time.advance(PATIENCE_MS + 3000, 10)
      const counts = await all
      expect(counts.filter(count => !Number.isFinite(count))).toEqual([])
    })
  }
})
