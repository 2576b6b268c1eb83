import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { HookedStoreClient } from '../store/test/HookedStoreClient.js'
import type { MemoryStore } from '../store/test/MemoryStore.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import { StoredReaderHarness } from './test/StoredReaderHarness.js'

const TOPIC = BatchRecordCodec.topic
const ID = 'batch-1'
const { logger } = testServices()

describe('StoredBatchReader', () => {
  let time: VirtualTime
  let harness: StoredReaderHarness
  let client: HookedStoreClient
  let memory: MemoryStore
  let log: StoredReaderHarness['log']
  let counts: string[]

  beforeEach(async () => {
    time = new VirtualTime()
    harness = new StoredReaderHarness()
    ;({ client, memory, log, counts } = harness)
    await harness.leader.open()
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  // Guards against an accepted batch that no entry but the leader can read.
  it('lists the results of an open batch from any position', async () => {
    for (const id of ['batch-0', 'batch-10', 'batch-2', 'batch']) await harness.finish(await harness.submitItems(2, id), 0, id)
    const batch = await harness.submitItems(4)
    expect(await harness.read()).toEqual({ kind: 'results', total: 4, next: 0, results: [] })
    await harness.leader.addResult(batch, { itemId: 'i2', state: 'completed', text: 'ok', versions: [1, 2], score: 's' })
    await harness.leader.addResult(batch, { itemId: 'i0', state: 'aborted', text: '', versions: [] })
    expect(await harness.read()).toEqual({
      kind: 'results',
      total: 4,
      next: 2,
      results: [
        { itemId: 'i2', state: 'completed', text: 'ok', versions: [1, 2], score: 's', textRecords: 1 },
        { itemId: 'i0', state: 'aborted', text: '', versions: [], textRecords: 0 }
      ]
    })
    expect([await harness.texts(1), await harness.texts(2), await harness.texts(9)]).toEqual([[''], [], []])
    expect(counts).toEqual(Array.from({ length: 5 }, () => 'results results'))
    expect(harness.lastLine).toLooseEqual({ event: 'batch_read_from_store', batch: ID, from: 9, results: 0, records: harness.lastLine['records'], duration_ms: 0 })
  })

  // Guards against results that are missing after the end has taken them over, and bodies of items that have ended.
  it('lists the results of an ended batch, with those that were in flight at its end', async () => {
    const batch = await harness.submitItems(3)
    await harness.finish(batch, 0)
    const late = harness.finish(batch, 1)
    const ended = harness.leader.end(batch)
    await Promise.all([late, ended])
    expect(memory.keys(TOPIC).filter(key => key.startsWith('result/'))).toEqual(['result/batch-1/000001'])
    expect(await harness.texts()).toEqual(['text 0', 'text 1'])
    expect([await harness.find('i2'), await harness.find('unknown')]).toEqual(['absent', 'absent'])
  })

  // Guards against a result that is listed at a position that a leader still has to fill.
  it('lists results up to the first gap only, from any position', async () => {
    const batch = await harness.submitItems(3)
    await harness.finish(batch, 0)
    memory.appendOutcome = ({ records }) => records.some(({ key }) => key === 'result/batch-1/000001') ? 'rejected' : 'ok'
    const rejected = harness.finish(batch, 1)
    await time.advance(5)
    await harness.finish(batch, 2)
    expect([await harness.texts(), await harness.texts(1), await harness.texts(2)]).toEqual([['text 0'], [], []])
    memory.appendOutcome = () => 'ok'
    await time.advance(600)
    await rejected
  })

  // Guards against a record that a previous leader left after a gap, which the present leader is going to overwrite.
  it('does not list a result that is older than the one before it', async () => {
    const batch = await harness.submitItems(3)
    memory.appendOutcome = ({ records }) => records.some(({ key }) => key === 'result/batch-1/000000') ? 'rejected' : 'ok'
    harness.finish(batch, 0).catch(() => undefined)
    await time.advance(5)
    await harness.finish(batch, 1)
    // The next leader would remove the record.
    memory.appendOutcome = ({ records }) => records.some(({ value }) => value === undefined) ? 'rejected' : 'ok'
    const taken = await harness.takeOver(2)
    await time.advance(5)
    memory.appendOutcome = () => 'ok'
    await harness.finish(taken, 2)
    expect([await harness.texts(), await harness.texts(1)]).toEqual([['text 2'], 'unavailable'])
    expect(harness.lastLine['reason']).toEqual('results_uncertain')
    await harness.finish(taken, 0)
    expect(await harness.texts()).toEqual(['text 2', 'text 0'])
  })

  // Guards against an item at two positions, when a record that a previous leader left is behind the results of the end.
  it('does not list an item again after the end of its batch', async () => {
    const batch = await harness.submitItems(2)
    memory.appendOutcome = ({ records }) => records.some(({ key }) => key === 'result/batch-1/000000') ? 'rejected' : 'ok'
    harness.finish(batch, 0).catch(() => undefined)
    await time.advance(5)
    await harness.finish(batch, 1)
    // The next leader would remove the record.
    memory.appendOutcome = ({ records }) => records.some(({ value }) => value === undefined) ? 'rejected' : 'ok'
    const taken = await harness.takeOver(2)
    await time.advance(5)
    memory.appendOutcome = () => 'ok'
    await harness.finish(taken, 1)
    await harness.leader.end(taken)
    expect([await harness.texts(), await harness.texts(1)]).toEqual([['text 1'], 'unavailable'])
  })

  // Guards against responses over the platform's limit of 1 MB, and against reading more texts than one response needs.
  it('lists large texts over several pages, at least one on each, and reads only the texts of the page', async () => {
    const batch = await harness.submitItems(4)
    const lengths = [900_000, 300_000, 350_000, 100_000]
    for (const [index, length] of lengths.entries()) await harness.finish(batch, index, String(index).repeat(length))
    const pages: number[][] = []
    const textPages: string[][] = []
    for (let from = 0; from < lengths.length;) {
      client.pagesAfter.length = 0
      const outcome = await harness.read(from)
      if (outcome.kind !== 'results') throw new Error(outcome.kind)
      for (const [index, { text }] of outcome.results.entries()) expect(text === String(from + index).repeat(lengths[from + index] ?? 0)).toEqual(true)
      pages.push(outcome.results.map(({ text }) => text.length))
      textPages.push(client.pagesAfter.filter(key => key.startsWith('text/')))
      from = outcome.next
    }
    expect(pages).toEqual([[900_000], [300_000, 350_000], [100_000]])
    expect(textPages).toEqual([
      ['text/batch-1/000000', 'text/batch-1/000000/000002', 'text/batch-1/000001/000000'],
      ['text/batch-1/000001', 'text/batch-1/000002/000000'],
      ['text/batch-1/000003']
    ])
  })

  // Guards against records in several pieces that are decoded before all of their pieces have been read.
  it('reads results, ends and items that are stored in several pieces', async () => {
    const bodies = [1, 500_000, 2, 150_000, 150_000].map((length, index) => String(index).repeat(length))
    const batch = await harness.submit(bodies.map((bodyBase64, index) => ({ ...createItem(`i${index}`, 'g'), bodyBase64 })))
    for (const [index, body] of bodies.entries()) expect(await harness.find(`i${index}`) === `body ${body}`).toEqual(true)
    expect(await harness.find('unknown')).toEqual('absent')
    const score = 's'.repeat(450_000)
    const scores = async (): Promise<unknown> => {
      const outcome = await harness.read()
      return outcome.kind === 'results' ? outcome.results.map(result => result.score === score) : outcome.kind
    }
    for (const itemId of ['i0', 'i1']) await harness.leader.addResult(batch, { itemId, state: 'completed', text: itemId, versions: [1], score })
    expect(await scores()).toEqual([true, true])
    await harness.leader.end(batch)
    expect(await scores()).toEqual([true, true])
  })

  // Guards against one organisation that reads the batches of another, or learns that they exist.
  it('answers that a batch of another organisation is absent', async () => {
    const batch = await harness.submit([{ ...createItem('i0', 'g'), bodyBase64: 'YQ==' }], ID, 'org-a')
    await harness.finish(batch, 0)
    expect([(await harness.read(0, ID, 'org-b')).kind, (await harness.read(0, ID)).kind, (await harness.read(0, ID, 'org-a')).kind]).toEqual(['absent', 'absent', 'results'])
    expect([await harness.find('i0', ID, 'org-b'), await harness.find('i0', ID, 'org-a')]).toEqual(['absent', 'body YQ=='])
    expect(counts).toEqual(['results absent', 'results absent', 'results results', 'item absent', 'item body'])
  })

  // Guards against a 404 for a batch that exists: an entry without the lease cannot tell that one does not.
  it('answers that a batch is unavailable if it is missing, unreadable, not yet complete, or the store is away', async () => {
    const codec = new BatchRecordCodec(logger)
    expect([await harness.texts(), await harness.find('i0')]).toEqual(['unavailable', 'unavailable'])
    for (const { key, value } of codec.encodeSubmission(createSpec({ id: 'open' }), [createItem('i0', 'g')]).slice(0, -1)) memory.writeBytes(TOPIC, key, value ?? new Uint8Array())
    expect([await harness.texts(0, 'open'), await harness.find('i0', 'open')]).toEqual(['unavailable', 'unavailable'])
    memory.writeBytes(TOPIC, 'batch/broken', new Uint8Array([1]))
    expect([await harness.texts(0, 'broken'), await harness.find('i0', 'broken')]).toEqual(['unavailable', 'unavailable'])
    await harness.submitItems(1)
    memory.isDown = true
    expect([await harness.texts(), await harness.find('i0')]).toEqual(['unavailable', 'unavailable'])
    expect(log.map(({ reason }) => reason)).toEqual([...Array.from({ length: 6 }, () => 'spec_missing'), 'store_failed', 'store_failed'])
    expect(log.at(-2) ?? {}).toLooseEqual({ event: 'batch_not_read_from_store', batch: ID, from: 0, results: 0, records: 0, duration_ms: 0, reason: 'store_failed', message: 'store is unavailable' })
  })

  // Guards against an item that is reported as unknown because its record is missing or unreadable.
  it('answers that a body is unavailable unless all items have been read', async () => {
    await harness.submitItems(2)
    memory.writeBytes(TOPIC, 'items/batch-1/000000', new Uint8Array([1]))
    expect([await harness.find('i0'), await harness.find('unknown')]).toEqual(['unavailable', 'unavailable'])
    memory.write(TOPIC, 'items/batch-1/000000')
    expect([await harness.find('i0'), await harness.find('unknown')]).toEqual(['unavailable', 'unavailable'])
  })

  // Guards against a text that is cut off, or an empty list, where results exist that cannot be read.
  it('answers that results are unavailable if a record of theirs is missing or unreadable', async () => {
    const batch = await harness.submitItems(2)
    await harness.finish(batch, 0, 'x'.repeat(250_000))
    memory.write(TOPIC, 'text/batch-1/000000/000001')
    expect(await harness.texts()).toEqual('unavailable')
    memory.writeBytes(TOPIC, 'result/batch-1/000000', new Uint8Array([1]))
    expect(await harness.texts()).toEqual('unavailable')
    await harness.finish(await harness.submitItems(2, 'batch-2'), 0)
    memory.writeBytes(TOPIC, 'end/batch-2', new Uint8Array([1]))
    expect([await harness.texts(0, 'batch-2'), await harness.texts(1, 'batch-2')]).toEqual([['text 0'], 'unavailable'])
  })

  // Guards against results of earlier versions, which do not tell the number of their text records, without their texts.
  it('reads texts whose number of records is unknown', async () => {
    await harness.submitItems(2)
    for (const position of [0, 1]) memory.write(TOPIC, `result/batch-1/00000${position}`, { itemId: `i${position}`, state: 'completed', versions: [1] })
    for (const part of [0, 1, 2, 3]) memory.writeBytes(TOPIC, `text/batch-1/000000/00000${part}`, new TextEncoder().encode(String(part)))
    expect(await harness.texts()).toEqual(['0123', ''])
  })

  // Guards against reads that hold a request, and memory, for as long as the store takes.
  it('answers unavailable at the deadline, and reads no further page after the time for one read', async () => {
    await harness.finish(await harness.submitItems(1), 0)
    client.beforePage = async () => { await new Promise(resolve => { setTimeout(resolve, 2500) }) }
    const reading = harness.read()
    await time.advance(StoredReaderHarness.deadlineMs)
    expect((await reading).kind).toEqual('unavailable')
    expect(harness.lastLine).toLooseEqual({ event: 'batch_not_read_from_store', batch: ID, from: 0, results: 0, records: harness.lastLine['records'], duration_ms: StoredReaderHarness.deadlineMs, reason: 'deadline_passed', message: undefined })
    await time.advance(15_000)
    expect(client.pagesAfter.length).toEqual(2)
  })

  // Guards against reads that never succeed because each attempt starts from nothing.
  it('gives the next attempt what was read after the deadline of the first', async () => {
    await harness.finish(await harness.submitItems(1), 0)
    client.beforePage = async () => { await new Promise(resolve => { setTimeout(resolve, 600) }) }
    const first = harness.read()
    await time.advance(2200)
    expect((await first).kind).toEqual('unavailable')
    const pages = client.pagesAfter.length
    expect(await harness.texts()).toEqual(['text 0'])
    expect(client.pagesAfter.length).toEqual(pages)
  })

  // Guards against a reader that is told of no result at a position that it has read elsewhere meanwhile.
  it('gives no later caller an earlier answer that there are no results', async () => {
    const batch = await harness.submitItems(1)
    client.beforePage = async () => { await new Promise(resolve => { setTimeout(resolve, 200) }) }
    const first = harness.read()
    await time.advance(250)
    await harness.finish(batch, 0)
    const second = harness.read()
    await time.advance(StoredReaderHarness.deadlineMs)
    expect([await first, (await second).kind]).toEqual([{ kind: 'results', total: 1, next: 0, results: [] }, 'unavailable'])
  })

  // Guards against an entry that runs out of memory when many callers read while the leader is away.
  it('reads for one request at a time, queues a bounded number of others, and refuses the rest at once', async () => {
    await harness.submitItems(50)
    let concurrent = 0
    let maxConcurrent = 0
    client.beforePage = async () => {
      maxConcurrent = Math.max(maxConcurrent, ++concurrent)
      await new Promise(resolve => { setTimeout(resolve, 2) })
      concurrent -= 1
    }
    const outcomes: string[] = []
    const readings = Array.from({ length: 50 }, async (_, index) => { outcomes.push((await harness.find(`i${index}`)).split(' ')[0] ?? '') })
    await time.advance(1)
    expect(outcomes).toEqual(Array.from({ length: 41 }, () => 'unavailable'))
    await time.advance(StoredReaderHarness.deadlineMs)
    await Promise.all(readings)
    expect(outcomes.slice(41)).toEqual(Array.from({ length: 9 }, () => 'body'))
    expect(maxConcurrent).toEqual(1)
    expect(log.filter(({ reason }) => reason === 'queue_full').length).toEqual(41)
  })

  // Guards against a place that is never free again after a fault.
  it('answers unavailable after an unexpected error, and reads again afterwards', async () => {
    await harness.finish(await harness.submitItems(1), 0)
    client.beforePage = async () => { throw new Error('unexpected') }
    for (let count = 0; count < 5; count++) expect((await harness.read()).kind).toEqual('unavailable')
    client.beforePage = async () => {}
    expect(await harness.texts()).toEqual(['text 0'])
    expect(log[0]?.['reason']).toEqual('fault')
  })

  // Guards against results of another organisation for a caller whose read joins that of another one.
  it('keeps reads apart whose organisations and ids have the same text when joined', async () => {
    await harness.submit([createItem('i0', 'g')], 'c', 'a b')
    await harness.submit([createItem('i0', 'g')], 'b c', 'a')
    client.beforePage = async () => { await new Promise(resolve => { setTimeout(resolve, 10) }) }
    const readings = [harness.find('i0', 'c', 'a b'), harness.find('i0', 'b c', 'a'), harness.find('i0', 'c', 'a')]
    await time.advance(StoredReaderHarness.deadlineMs)
    expect((await Promise.all(readings)).map(found => found.split(' ')[0])).toEqual(['body', 'body', 'absent'])
  })
})
