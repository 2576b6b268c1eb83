import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { Batch } from './Batch.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

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

  it('restores scores and complete texts, also from the end of a batch and from records without them', () => {
    const rewardCall = { id: 'r', host: 'h', path: '/r', bodyBase64: '' }
    const batch = new Batch(createSpec({ itemCount: 2 }), [{ ...createItem('i', 'g'), rewardCall }, createItem('j', 'g')])
    const [scored, plain] = batch.items
    if (scored === undefined || plain === undefined) throw new Error('item is missing')
    const submission = codec.encodeSubmission(batch.spec, batch.items.map(state => state.item))
    scored.progress = { events: ['a'], lastEventId: 1, versions: [1], isComplete: true }
    const progress = codec.encodeProgress('batch-1', scored)
    const restored = codec.restore([...submission, progress]).get('batch-1')?.batch
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
      records.push(codec.encodeProgress('batch-1', state))
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
