import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { Batch } from './Batch.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

const ledger = new BatchRecordCodec(testServices().logger)

describe('BatchLedger', () => {
  it('restores items, results in their positions and texts longer than one record', () => {
    const long = 'é'.repeat(300_000)
    fc.assert(fc.property(fc.array(fc.string(), { maxLength: 4 }), texts => {
      const all = [...texts, long]
      const items = all.map((_, index) => createItem(`i${index}`, 'g'))
      const spec = createSpec({ itemCount: items.length })
      const records = [
        ...ledger.encodeSubmission(spec, items),
        ...all.flatMap((text, position) => ledger.encodeResult(spec.id, position, { itemId: `i${position}`, state: 'completed', versions: [3, 4], text }))
      ]
      const batch = ledger.restore(records).get(spec.id)?.batch
      if (batch !== undefined) ledger.restoreTexts(batch, records)
      expect(batch?.results.map(result => result.text)).toEqual(all)
      expect(batch?.items.map(state => state.item)).toEqual(items)
      expect(batch?.isOpen).toEqual(false)
    }), { numRuns: 20 })
  })

  it('splits items over records and refuses a batch whose items are incomplete', () => {
    const items = Array.from({ length: 5 }, (_, index) => ({ ...createItem(`i${index}`, 'g'), bodyBase64: 'x'.repeat(90_000) }))
    const records = ledger.encodeSubmission(createSpec({ itemCount: 5 }), items)
    expect(records.length).toEqual(4)
    expect(ledger.restore(records).size).toEqual(1)
    expect(ledger.restore(records.slice(1)).size).toEqual(0)
  })

  it('goes on behind the last part of the progress, and from a part that begins anew', () => {
    const batch = new Batch(createSpec(), [createItem('i', 'g')])
    const state = batch.items[0]
    if (state === undefined) throw new Error('item is missing')
    const records = ledger.encodeSubmission(batch.spec, [state.item])
    const generate = (...events: string[]): void => {
      state.progress.events.push(...events)
      state.progress.lastEventId += events.length
      state.progress.versions = [2]
      records.push(ledger.encodeProgress('batch-1', state))
      state.savedEventId = state.progress.lastEventId
      state.savedParts += 1
    }
    const restored = (): unknown => ledger.restore(records).get('batch-1')?.batch.items[0]?.progress
    generate('a', 'b')
    generate('c')
    expect(restored()).toEqual({ events: ['a', 'b', 'c'], lastEventId: 3, versions: [2], isComplete: false })
    state.restart()
    generate('x')
    expect(restored()).toEqual({ events: ['x'], lastEventId: 1, versions: [2], isComplete: false })
  })

  it('keeps the head, the results and the incomplete groups of an ended batch', () => {
    const items = [createItem('a', 'whole'), createItem('b', 'open')]
    const batch = new Batch(createSpec({ itemCount: 2 }), items)
    const submitted = ledger.encodeSubmission(batch.spec, items)
    batch.addResult(0, { itemId: 'a', state: 'completed', versions: [1], text: 'text' })
    const kept = new Map(submitted.map(record => [record.key, record.value]))
    for (const record of ledger.encodeResult('batch-1', 0, batch.results[0] ?? { itemId: '', state: 'aborted', versions: [], text: '' })) kept.set(record.key, record.value)
    for (const record of ledger.encodeEnd(batch, [...kept.keys()], 0)) kept.set(record.key, record.value)
    const records = [...kept].map(([key, value]) => ({ key, value }))
    const heads = records.filter(record => record.value !== undefined).map(record => record.key)
    expect(heads).toEqual(['batch/batch-1', 'text/batch-1/000000/000000', 'end/batch-1'])
    const restored = ledger.restore(records).get('batch-1')?.batch
    expect(restored?.isEnded).toEqual(true)
    expect(restored?.results.length).toEqual(1)
    expect([restored?.mayBeResubmitted('open'), restored?.mayBeResubmitted('whole')]).toEqual([true, false])
  })
})
