import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../../log/test/VirtualTime.test.js'
import type { BatchItem } from '../record/BatchItem.js'
import { BatchHarness } from '../test/BatchHarness.js'
import { createItem } from '../test/createItem.js'
import { createRoute } from '../test/createRoute.js'
import { createSpec } from '../test/createSpec.js'

/** Two engines with four slots each. */
const SLOTS = 8
const EVENTS = 10

describe('dispatch order of BatchRunner', () => {
  let time: VirtualTime
  let harness: BatchHarness

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
    harness.configure([
      createRoute(),
      createRoute({ name: 'high', pathPrefix: '/high/' }),
      createRoute({ name: 'low', pathPrefix: '/low/', priority: 1 })
    ])
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  const createItems = (name: string, count: number, groupSize: number): BatchItem[] =>
    Array.from({ length: count }, (_, index) => {
      harness.engines.eventCounts[`${name}${index}`] = EVENTS
      return createItem(`${name}${index}`, `${name}-${Math.floor(index / groupSize)}`, EVENTS * 60)
    })
  /** Batches by the first letter of their runs, in order of start. */
  const starts = (): string => harness.engines.runs.map(run => run[0]).join('')

  // Two routes share too few engines. Guards against a lower priority that keeps every slot because it came first.
  it('gives free slots to the route of higher priority first', async () => {
    const { service } = await harness.lead(1)
    const low = service.submit(createSpec({ id: 'batch-l', path: '/low/x', groupsWanted: 4, itemCount: 16 }), createItems('l', 16, 4))
    await time.advance(100)
    const high = service.submit(createSpec({ id: 'batch-h', path: '/high/x', groupsWanted: 1, itemCount: 4 }), createItems('h', 4, 4))
    await time.advance(3000)
    await Promise.all([low, high])
    expect(starts()).toEqual('l'.repeat(SLOTS) + 'h'.repeat(4) + 'l'.repeat(8))
  })

  // Guards against an organisation's priority that is ignored in favour of the route's.
  it('prefers the priority of the batch to that of its route', async () => {
    const { service } = await harness.lead(1)
    const first = service.submit(createSpec({ id: 'batch-a', path: '/high/x', priority: 2, groupsWanted: 4, itemCount: 16 }), createItems('a', 16, 4))
    await time.advance(100)
    const second = service.submit(createSpec({ id: 'batch-b', path: '/low/x', groupsWanted: 1, itemCount: 4 }), createItems('b', 4, 4))
    await time.advance(3000)
    await Promise.all([first, second])
    expect(starts()).toEqual('a'.repeat(SLOTS) + 'b'.repeat(4) + 'a'.repeat(8))
  })

  // Two trainers share too few engines. Guards against spare groups of the first that delay the second.
  it('starts needed groups of a later step before spare groups of an earlier one', async () => {
    const { service } = await harness.lead(1)
    const first = service.submit(createSpec({ id: 'batch-a', groupsWanted: 2, itemCount: 16 }), createItems('a', 16, 4))
    await time.advance(100)
    const second = service.submit(createSpec({ id: 'batch-b', groupsWanted: 1, itemCount: 4 }), createItems('b', 4, 4))
    await time.advance(3000)
    await Promise.all([first, second])
    expect(starts()).toEqual('a'.repeat(SLOTS) + 'b'.repeat(4) + 'a'.repeat(8))
  })
})
