import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { LimitedStoreClient } from '../store/test/LimitedStoreClient.js'
import { Batch } from './Batch.js'
import type { BatchReadOutcome } from './BatchReadOutcome.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import type { BatchService } from './BatchService.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

const TOPIC = 'keyed.batches'
/** 31 Mbit/s. */
const BYTES_PER_MS = 3875
/** 8 Mbit/s: two pages at a time exceed the time-out of the store client, one does not. */
const SLOW_BYTES_PER_MS = 1000
const BASE64_FACTOR = 4 / 3
const RESULTS = 20
const TEXT_CHARS = 50_000
const BATCHES = 24
/** Callers wait for a response for this time, and try again after a pause. */
const CALLER_TIMEOUT_MS = 1500
const CALLER_PAUSE_MS = 500
/** Time after which a read without texts has been refused, so that its caller can ask another entry. */
const REFUSAL_MS = 1000
const STEP_MS = 10
const RESTORE_MS = 1000
const codec = new BatchRecordCodec(testServices().logger)

/** One caller that reads a batch from the start, until it has all results. */
class Caller {
  readonly texts: string[] = []
  /** Longest time until a response, and the number of those that came too late. */
  longestMs = 0
  lateCount = 0
  doneAtMs?: number

  constructor (private readonly _service: BatchService, private readonly _id: string) {}

  async readAll (): Promise<void> {
    for (;;) {
      const startedAtMs = performance.now()
      const outcome = await this._service.read(this._id, this.texts.length, 0)
      const durationMs = performance.now() - startedAtMs
      this.longestMs = Math.max(this.longestMs, durationMs)
      if (durationMs > CALLER_TIMEOUT_MS) this.lateCount += 1
      else if (outcome.kind === 'results') this.texts.push(...outcome.results.map(result => result.text))
      if (this.texts.length === RESULTS) break
      await new Promise(resolve => setTimeout(resolve, CALLER_PAUSE_MS))
    }
    this.doneAtMs = performance.now()
  }
}

describe('loads of result texts', () => {
  let time: VirtualTime
  let harness: BatchHarness
  let client: LimitedStoreClient

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time, store => {
      client = new LimitedStoreClient(store, BYTES_PER_MS)
      return client
    })
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  const idOf = (index: number): string => `batch-${String(index).padStart(3, '0')}`
  const textOf = (id: string, position: number, chars: number): string => `${id} ${position}`.padEnd(chars, '.')
  /** Writes the records of a batch whose items all have results. */
  const writeBatch = (id: string, chars = TEXT_CHARS, count = RESULTS): string[] => {
    const items = Array.from({ length: count }, (_, index) => createItem(`${id}-${index}`, 'g'))
    const texts = items.map((_, position) => textOf(id, position, chars))
    const results = items.flatMap((item, position) => codec.encodeResult(id, position, { itemId: item.id, state: 'completed', versions: [1], text: texts[position] ?? '' }))
    for (const { key, value } of [...codec.encodeSubmission(createSpec({ id, itemCount: count }), items), ...results]) {
      if (value !== undefined) harness.store.writeBytes(TOPIC, key, value)
    }
    return texts
  }
  /** Starts a leader and waits until it has restored the batches, with a page of the store of up to 1 MB. */
  const lead = async (): Promise<BatchService> => {
    const { service } = await harness.lead(1)
    await time.advance(RESTORE_MS)
    client.maxConcurrentPages = 0
    return service
  }
  /** Reads from a position, and returns the outcome with the time that it took. */
  const startRead = (service: BatchService, id: string, fromPosition: number): { outcome?: BatchReadOutcome, durationMs?: number } => {
    const read: ReturnType<typeof startRead> = {}
    const startedAtMs = performance.now()
    service.read(id, fromPosition, 0).then(outcome => Object.assign(read, { outcome, durationMs: performance.now() - startedAtMs }), () => undefined)
    return read
  }
  const textsOf = ({ outcome }: ReturnType<typeof startRead>): string[] | string | undefined =>
    outcome?.kind === 'results' ? outcome.results.map(result => result.text) : outcome?.kind

  // After a loss of all power, all batches are read at the same moment through one leader on a slow link. Guards against
  // loads that share the link until all of them time out, and against memory for all of their pages at once.
  it('serves many large batches that are read at once, one after another', async () => {
    const texts = Array.from({ length: BATCHES }, (_, index) => writeBatch(idOf(index)))
    const service = await lead()
    const callers = texts.map((_, index) => new Caller(service, idOf(index)))
    const startedAtMs = performance.now()
    for (const caller of callers) caller.readAll().catch(() => undefined)
    const linkMs = BATCHES * RESULTS * TEXT_CHARS * BASE64_FACTOR / BYTES_PER_MS
    await time.advance(linkMs * 1.5, STEP_MS)
    expect(callers.filter(caller => caller.doneAtMs === undefined).length).toEqual(0)
    expect(callers.map(caller => caller.texts)).toEqual(texts)
    expect(callers.reduce((sum, caller) => sum + caller.lateCount, 0)).toEqual(0)
    expect(Math.max(...callers.map(caller => caller.longestMs))).toBeLessThanOrEqual(REFUSAL_MS + STEP_MS)
    expect(Math.min(...callers.map(caller => caller.doneAtMs ?? Number.POSITIVE_INFINITY)) - startedAtMs).toBeLessThan(CALLER_TIMEOUT_MS)
    expect(client.maxConcurrentPages).toBeLessThanOrEqual(2)
  })

  // Guards against two pages that time out together again and again, while one alone would succeed.
  it('serves large batches over a link that carries only one page within the time-out', async () => {
    const texts = Array.from({ length: 6 }, (_, index) => writeBatch(idOf(index)))
    const service = await lead()
    client.bytesPerMs = SLOW_BYTES_PER_MS
    const callers = texts.map((_, index) => new Caller(service, idOf(index)))
    for (const caller of callers) caller.readAll().catch(() => undefined)
    const linkMs = texts.length * RESULTS * TEXT_CHARS * BASE64_FACTOR / SLOW_BYTES_PER_MS
    await time.advance(linkMs * 1.5, STEP_MS)
    expect(callers.map(caller => caller.texts)).toEqual(texts)
    expect(client.pages).toBeLessThanOrEqual(10)
  })

  // Guards against small batches that each need a page of 1 MB, most of which is texts of other batches.
  it('uses the texts of other requested batches in a page', async () => {
    const texts = Array.from({ length: BATCHES }, (_, index) => writeBatch(idOf(index), 500))
    const service = await lead()
    const pagesBefore = client.pages
    const reads = texts.map((_, index) => startRead(service, idOf(index), 0))
    await time.advance(500)
    expect(reads.map(textsOf)).toEqual(texts)
    expect(client.pages - pagesBefore).toBeLessThanOrEqual(4)
  })

  // Guards against a load that starts again from its first page after each failure, and so never ends.
  it('continues a load after the last page that was read', async () => {
    // The text at each position takes two pages.
    const texts = writeBatch(idOf(0), 1_500_000, 2)
    const service = await lead()
    const served = new Set<string>()
    for (let round = 0; round < 4; round++) {
      client.remainingPages = 1
      // One page succeeds, and the next one times out.
      for (let count = 0; count < 8; count++) {
        const read = startRead(service, idOf(0), served.size)
        await time.advance(CALLER_PAUSE_MS)
        const text = textsOf(read)
        if (Array.isArray(text) && text[0] !== undefined) served.add(text[0])
      }
    }
    expect([...served].map(text => text.slice(0, 20))).toEqual(texts.map(text => text.slice(0, 20)))
    expect([...served].map(text => text.length)).toEqual(texts.map(text => text.length))
  })

  it('returns the first page of results before all texts have been read, and reads only the texts of that page', async () => {
    const texts = writeBatch(idOf(0), TEXT_CHARS, 100)
    const service = await lead()
    const pagesBefore = client.pages
    const first = startRead(service, idOf(0), 0)
    const late = startRead(service, idOf(0), 70)
    await time.advance(CALLER_TIMEOUT_MS)
    expect(textsOf(first)).toEqual(texts.slice(0, 14))
    expect(textsOf(late)).toEqual(texts.slice(70, 84))
    expect(client.pages - pagesBefore).toEqual(2)
  })

  it('shares the load of concurrent reads of one batch', async () => {
    const texts = writeBatch(idOf(0), 30_000)
    const service = await lead()
    const pagesBefore = client.pages
    const reads = Array.from({ length: 10 }, () => startRead(service, idOf(0), 0))
    await time.advance(CALLER_TIMEOUT_MS)
    expect(reads.map(textsOf)).toEqual(reads.map(() => texts))
    expect(client.pages - pagesBefore).toEqual(1)
  })

  // Guards against reads that are held for as long as the store does not respond, while another entry could serve them.
  it('refuses reads that need texts at once while the store does not respond, and serves them when it does', async () => {
    const texts = writeBatch(idOf(0), 100)
    const service = await lead()
    client.isSilent = true
    const first = startRead(service, idOf(0), 0)
    await time.advance(REFUSAL_MS + STEP_MS)
    expect(textsOf(first)).toEqual('unavailable')
    for (let count = 0; count < 20; count++) {
      await time.advance(CALLER_PAUSE_MS)
      const read = startRead(service, idOf(0), 0)
      await time.advance(STEP_MS)
      expect(textsOf(read)).toEqual('unavailable')
    }
    client.isSilent = false
    await time.advance(4000)
    const read = startRead(service, idOf(0), 0)
    await time.advance(100)
    expect(textsOf(read)).toEqual(texts)
  })

  // Guards against results without their texts, because these were evicted while a read was about to return them.
  it('does not evict texts that a read has just asked for', async () => {
    const texts = writeBatch(idOf(0))
    const service = await lead()
    const ended = service.end(idOf(0))
    await time.advance(30_000, 50)
    await ended
    for (let count = 0; count < 30; count++) {
      const read = startRead(service, idOf(0), 0)
      await time.advance(700)
      expect(textsOf(read)).toEqual(texts.slice(0, 14))
    }
    const pages = client.pages
    const outcome = await service.read(idOf(0), 0, 0)
    expect(client.pages).toEqual(pages)
    for (const batch of service.batches) batch.evictTexts()
    expect(outcome.kind === 'results' && outcome.results.map(result => result.text)).toEqual(texts.slice(0, 14))
  })

  // Results of earlier versions do not tell how many records their texts have.
  it('loads texts of results without the number of their records, also empty ones', async () => {
    const texts = ['', 'é'.repeat(300_000), '', 'x']
    const items = texts.map((_, position) => createItem(`i${position}`, 'g'))
    for (const { key, value } of codec.encodeSubmission(createSpec({ id: idOf(0), itemCount: 4 }), items)) harness.store.writeBytes(TOPIC, key, value ?? new Uint8Array())
    for (const [position, text] of texts.entries()) {
      for (const { key, value } of codec.encodeResult(idOf(0), position, { itemId: `i${position}`, state: 'completed', versions: [1], text })) {
        if (key.startsWith('text/')) harness.store.writeBytes(TOPIC, key, value ?? new Uint8Array())
        else harness.store.write(TOPIC, key, { itemId: `i${position}`, state: 'completed', versions: [1] })
      }
    }
    writeBatch(idOf(1))
    const service = await lead()
    const read = startRead(service, idOf(0), 0)
    await time.advance(CALLER_TIMEOUT_MS)
    expect(textsOf(read)).toEqual(texts)
  })

  // Guards against a text that is returned without its end.
  it('refuses a read whose text lacks a record, and serves the results before it', async () => {
    const texts = writeBatch(idOf(0), 250_000, 2)
    harness.store.write(TOPIC, `text/${idOf(0)}/000001/000001`)
    const service = await lead()
    const reads = [startRead(service, idOf(0), 0), startRead(service, idOf(0), 1)]
    await time.advance(CALLER_TIMEOUT_MS)
    expect(reads.map(textsOf)).toEqual([texts.slice(0, 1), 'unavailable'])
  })

  // Guards against reads that are held until their time-out by a leader that serves no longer.
  it('refuses the reads that wait for texts when the leadership is lost', async () => {
    writeBatch(idOf(0))
    const service = await lead()
    client.isSilent = true
    const read = startRead(service, idOf(0), 0)
    await time.advance(STEP_MS)
    service.dispose()
    await time.advance(STEP_MS)
    expect(textsOf(read)).toEqual('unavailable')
  })

  // Guards against an eviction that fails, and with it every later removal of batches.
  it('evicts the texts of a batch with a position whose result is not durable', () => {
    const batch = new Batch(createSpec({ itemCount: 3 }), [])
    for (const position of [0, 2]) batch.addResult(position, { itemId: `i${position}`, state: 'completed', versions: [1], text: 'x', textRecords: 1 })
    batch.evictTexts()
    expect([0, 1, 2].map(position => batch.results[position]?.text ?? 'none')).toEqual(['', 'none', ''])
    expect(batch.unloadedTexts()).toEqual([0, 2])
  })
})
