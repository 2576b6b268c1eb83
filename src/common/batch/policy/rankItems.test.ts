import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Batch } from '../Batch.js'
import { LengthEstimator } from './LengthEstimator.js'
import { rankItems } from './rankItems.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'

const TOKENS_PER_EVENT = 60
const estimator = new LengthEstimator()

/** Groups by the lengths of their items, in events. */
function createBatch (groupsWanted: number, lengths: Record<string, number[]>): Batch {
  const items = Object.entries(lengths).flatMap(([group, events]) =>
    events.map((count, index) => createItem(`${group}${index}`, group, count * TOKENS_PER_EVENT)))
  return new Batch(createSpec({ groupsWanted, itemCount: items.length }), items)
}

const order = (batch: Batch): string[] => rankItems(batch, estimator).map(({ state }) => state.item.id)

describe('rankItems', () => {
  // Load: a few items run many times longer than the rest, and the trainer waits for most groups only.
  it('sends the longest items of the groups that can be whole first, and leaves the group with a straggler for the end', () => {
    const batch = createBatch(2, { a: [10, 40], b: [20, 30], c: [5, 180] })
    expect(order(batch)).toEqual(['a1', 'b1', 'b0', 'a0', 'c0', 'c1'])
  })

  it('counts groups that came back from an earlier step as needed, however long they are', () => {
    const batch = createBatch(2, { a: [10], b: [20], c: [180] })
    batch.resubmittedGroups.add('c')
    expect(order(batch)).toEqual(['c0', 'a0', 'b0'])
  })

  it('gives up on a group that has outrun its hints in favour of one that can be whole sooner', () => {
    const batch = createBatch(1, { a: [10, 10], b: [30, 30] })
    const straggler = batch.find('a0')
    if (straggler === undefined) throw new Error('item is missing')
    straggler.status = 'running'
    straggler.progress.events.push(...Array.from({ length: 100 }, () => ''))
    expect(order(batch)).toEqual(['b0', 'b1', 'a1'])
  })

  it('leaves out what runs or has finished', () => {
    const batch = createBatch(1, { a: [10, 20, 30] })
    const [running, finished] = batch.items
    if (running !== undefined) running.status = 'running'
    if (finished !== undefined) finished.status = 'finished'
    expect(order(batch)).toEqual(['a2'])
  })
})
