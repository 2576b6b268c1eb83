import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Batch } from '../Batch.js'
import { LengthEstimator } from './LengthEstimator.js'
import { rankItems } from './rankItems.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'

const TOKENS_PER_EVENT = 60
const estimator = new LengthEstimator()

/** Creates a batch from the item lengths of each group, in events. */
function createBatch (groupsWanted: number, lengths: Record<string, number[]>): Batch {
  const items = Object.entries(lengths).flatMap(([group, events]) =>
    events.map((count, index) => createItem(`${group}${index}`, group, count * TOKENS_PER_EVENT)))
  return new Batch(createSpec({ groupsWanted, itemCount: items.length }), items)
}

const order = (batch: Batch): string[] => rankItems(batch, estimator).map(({ state }) => state.item.id)

describe('rankItems', () => {
  // A few items are many times longer than the rest, and the trainer does not need all groups.
  it('ranks the groups that can complete first by longest item, and puts the group with a straggler last', () => {
    const batch = createBatch(2, { a: [10, 40], b: [20, 30], c: [5, 180] })
    expect(order(batch)).toEqual(['a1', 'b1', 'b0', 'a0', 'c0', 'c1'])
  })

  it('treats groups resubmitted from an earlier step as needed, regardless of their length', () => {
    const batch = createBatch(2, { a: [10], b: [20], c: [180] })
    batch.resubmittedGroups.add('c')
    expect(order(batch)).toEqual(['c0', 'a0', 'b0'])
  })

  it('ranks a group that exceeds its length hints behind one that can complete sooner', () => {
    const batch = createBatch(1, { a: [10, 10], b: [30, 30] })
    const straggler = batch.find('a0')
    if (straggler === undefined) throw new Error('item is missing')
    straggler.status = 'running'
    straggler.progress.events.push(...Array.from({ length: 100 }, () => ''))
    expect(order(batch)).toEqual(['b0', 'b1', 'a1'])
  })

  it('leaves out running and finished items', () => {
    const batch = createBatch(1, { a: [10, 20, 30] })
    const [running, finished] = batch.items
    if (running !== undefined) running.status = 'running'
    if (finished !== undefined) finished.status = 'finished'
    expect(order(batch)).toEqual(['a2'])
  })
})
