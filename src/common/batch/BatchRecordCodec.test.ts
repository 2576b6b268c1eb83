import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { Batch } from './Batch.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import { splitBytes } from '../kernel/test/splitBytes.js'
import { textArbitrary } from '../kernel/test/textArbitrary.js'

const codec = new BatchRecordCodec(testServices().logger)

describe('BatchRecordCodec', () => {
  it('restores items, results by position, and texts longer than one record', () => {
    const long = 'é'.repeat(300_000)
    fc.assert(fc.property(fc.array(fc.string(), { maxLength: 4 }), texts => {
      const all = [...texts, long]
      const items = all.map((_, index) => createItem(`i${index}`, 'g'))
      const spec = createSpec({ itemCount: items.length })
      const records = [
        ...codec.encodeSubmission(spec, items),
        ...all.flatMap((text, position) => codec.encodeResult(spec.id, position, { itemId: `i${position}`, state: 'completed', versions: [3, 4], text }))
      ]
      const batch = codec.restore(records).get(spec.id)?.batch
      if (batch !== undefined) codec.restoreTexts(batch, records)
      expect(batch?.results.map(result => result.text)).toEqual(all)
      expect(batch?.items.map(state => state.item)).toEqual(items)
      expect(batch?.isOpen).toEqual(false)
    }), { numRuns: 20 })
  })

  // Guards against a decoder that drops a byte order mark, or that decodes the records of a text one by one.
  it('joins a text from records that end anywhere, whatever it begins with', () => {
    fc.assert(fc.property(textArbitrary, fc.array(fc.nat()), (text, cuts) => {
      expect(codec.joinText(splitBytes(new TextEncoder().encode(text), cuts))).toEqual(text)
    }))
  })

  it('restores scores and complete texts, also from the end of a batch and from records without them', () => {
    const rewardCall = { id: 'r', host: 'h', path: '/r', bodyBase64: '' }
    const batch = new Batch(createSpec({ itemCount: 2 }), [{ ...createItem('i', 'g'), rewardCall }, createItem('j', 'g')])
    const [scored, plain] = batch.items
    if (scored === undefined || plain === undefined) throw new Error('item is missing')
    const submission = codec.encodeSubmission(batch.spec, batch.items.map(state => state.item))
    scored.progress = { events: ['a'], lastEventId: 1, versions: [1], isComplete: true }
    const progress = codec.encodeProgress('batch-1', scored)
    const restored = codec.restore([...submission, ...progress]).get('batch-1')?.batch
    expect(restored?.items.map(({ item, progress, hasUnsavedProgress }) => [item.rewardCall, progress.isComplete, hasUnsavedProgress]))
      .toEqual([[rewardCall, true, false], [undefined, false, false]])
    const result = codec.encodeResult('batch-1', 0, { itemId: 'i', state: 'completed', text: 'a', versions: [1], score: 's' })
    const older = codec.encodeResult('batch-1', 1, { itemId: 'j', state: 'completed', text: 'b', versions: [1] })
    const complete = codec.restore([...submission, ...result, ...older]).get('batch-1')?.batch
    expect(complete?.results.map(({ score }) => score)).toEqual(['s', undefined])
    const ended = complete === undefined ? [] : codec.encodeEnd(complete, [], 0)
    expect(codec.restore([...submission, ...ended]).get('batch-1')?.batch.results.map(({ score }) => score)).toEqual(['s', undefined])
  })

  it('splits items into several records, and does not restore a batch with missing items', () => {
    const items = Array.from({ length: 5 }, (_, index) => ({ ...createItem(`i${index}`, 'g'), bodyBase64: 'x'.repeat(90_000) }))
    const records = codec.encodeSubmission(createSpec({ itemCount: 5 }), items)
    expect(records.length).toEqual(4)
    expect(codec.restore(records).size).toEqual(1)
    expect(codec.restore(records.slice(1)).size).toEqual(0)
  })

  it('restores progress up to the last part, and restarts from a part that begins at the first event', () => {
    const batch = new Batch(createSpec(), [createItem('i', 'g')])
    const state = batch.items[0]
    if (state === undefined) throw new Error('item is missing')
    const records = codec.encodeSubmission(batch.spec, [state.item])
    const generate = (...events: string[]): void => {
      state.progress.events.push(...events)
      state.progress.lastEventId += events.length
      state.progress.versions = [2]
      records.push(...codec.encodeProgress('batch-1', state))
      state.savedEventId = state.progress.lastEventId
      state.savedParts += 1
    }
    const restored = (): unknown => codec.restore(records).get('batch-1')?.batch.items[0]?.progress
    generate('a', 'b')
    generate('c')
    expect(restored()).toEqual({ events: ['a', 'b', 'c'], lastEventId: 3, versions: [2], isComplete: false })
    state.restart()
    generate('x')
    expect(restored()).toEqual({ events: ['x'], lastEventId: 1, versions: [2], isComplete: false })
  })

  it('splits every record that is too large for the store, whatever it contains', () => {
    const item = { ...createItem('i', 'g'), bodyBase64: 'é'.repeat(300_000) }
    const batch = new Batch(createSpec(), [item])
    const [state] = batch.items
    if (state === undefined) throw new Error('item is missing')
    const submission = codec.encodeSubmission(batch.spec, [item])
    state.progress = { events: ['x'.repeat(300_000), 'y'], lastEventId: 2, versions: [1], isComplete: false }
    const records = [...submission, ...codec.encodeProgress('batch-1', state)]
    expect(Math.max(...records.map(({ value }) => value?.length ?? 0))).toBeLessThan(262_144 - 255)
    const restored = codec.restore(records).get('batch-1')?.batch.items[0]
    expect([restored?.item, restored?.progress]).toEqual([item, state.progress])
  })

  // Guards against a batch that the next leader drops, because a result was not durable when it ended (review/1).
  it('restores an ended batch up to the first result that is missing, also from records of earlier versions', () => {
    const batch = new Batch(createSpec({ itemCount: 3 }), [createItem('i', 'g'), createItem('j', 'g'), createItem('k', 'g')])
    const results = ['i', 'j', 'k'].map(itemId => ({ itemId, state: 'completed' as const, text: itemId, versions: [1] }))
    const submission = codec.encodeSubmission(batch.spec, batch.items.map(state => state.item))
    for (const position of [0, 2]) batch.addResult(position, results[position] as typeof results[number])
    const later = results.flatMap((result, position) => position === 0 ? [] : codec.encodeResult('batch-1', position, result))
    const ended = codec.encodeEnd(batch, later.map(record => record.key), 0)
    const listed = (records: Parameters<typeof codec.restore>[0]): unknown => codec.restore(records).get('batch-1')?.batch.listedResults().map(result => result.itemId)
    expect(listed([...submission, ...ended])).toEqual(['i'])
    expect(ended.filter(record => record.value === undefined)).toEqual([])
    expect(listed([...submission, ...ended, ...later])).toEqual(['i', 'j', 'k'])
    const older = new TextEncoder().encode(JSON.stringify({ endedAtMs: 0, incompleteGroups: [], results: [{ itemId: 'i', state: 'completed', versions: [1] }, null] }))
    expect(listed([...submission, { key: 'end/batch-1', value: older }])).toEqual(['i'])
  })

  // Guards against a text with an end that belongs to another one, whose result did not become durable.
  it('does not join a text with further records of another one at its position', () => {
    const submission = codec.encodeSubmission(createSpec(), [createItem('i', 'g')])
    const result = (text: string): ReturnType<typeof codec.encodeResult> => codec.encodeResult('batch-1', 0, { itemId: 'i', state: 'completed', text, versions: [1] })
    const records = [...submission, ...result('x'.repeat(500_000)).slice(0, -1), ...result('short')]
    const newest = [...new Map(records.map(record => [record.key, record])).values()]
    const batch = codec.restore(newest).get('batch-1')?.batch
    if (batch !== undefined) codec.restoreTexts(batch, newest)
    expect(batch?.results.map(({ text }) => text)).toEqual(['short'])
  })

  it('tells accepted batches that cannot be read from submissions that were not completed', () => {
    const spec = createSpec({ itemCount: 1 })
    const records = codec.encodeSubmission(spec, [createItem('i', 'g')])
    const unreadable = records.map(record => record.key.startsWith('items/') ? { ...record, value: new Uint8Array([1]) } : record)
    const incomplete = records.filter(record => record.key.startsWith('items/'))
    expect(codec.findUnrestored(records, codec.restore(records))).toEqual({ unreadableIds: new Set(), abandonedKeys: [] })
    expect(codec.findUnrestored(unreadable, codec.restore(unreadable))).toEqual({ unreadableIds: new Set([spec.id]), abandonedKeys: [] })
    expect(codec.findUnrestored(incomplete, codec.restore(incomplete))).toEqual({ unreadableIds: new Set(), abandonedKeys: ['items/batch-1/000000'] })
  })

  it('keeps the parameters, the results and the incomplete groups of an ended batch', () => {
    const items = [createItem('a', 'whole'), createItem('b', 'open')]
    const batch = new Batch(createSpec({ itemCount: 2 }), items)
    const submitted = codec.encodeSubmission(batch.spec, items)
    batch.addResult(0, { itemId: 'a', state: 'completed', versions: [1], text: 'text' })
    const kept = new Map(submitted.map(record => [record.key, record.value]))
    for (const record of codec.encodeResult('batch-1', 0, batch.results[0] ?? { itemId: '', state: 'aborted', versions: [], text: '' })) kept.set(record.key, record.value)
    for (const record of codec.encodeEnd(batch, [...kept.keys()], 0)) kept.set(record.key, record.value)
    const records = [...kept].map(([key, value]) => ({ key, value }))
    const keys = records.filter(record => record.value !== undefined).map(record => record.key)
    expect(keys).toEqual(['batch/batch-1', 'text/batch-1/000000/000000', 'end/batch-1'])
    const restored = codec.restore(records).get('batch-1')?.batch
    expect(restored?.isEnded).toEqual(true)
    expect(restored?.results.length).toEqual(1)
    expect([restored?.mayBeResubmitted('open'), restored?.mayBeResubmitted('whole')]).toEqual([true, false])
  })
})
