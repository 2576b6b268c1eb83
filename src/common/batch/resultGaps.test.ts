import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import type { Batch } from './Batch.js'
import { BatchStore } from './BatchStore.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

const RETENTION_MS = 120_000
const { logger } = testServices()

describe('results behind a gap', () => {
  let time: VirtualTime
  let memory: MemoryStore

  const settled = async <T>(promise: Promise<T>): Promise<T> => {
    await time.advance(1000, 50)
    return await promise
  }
  const lead = async (epoch: number): Promise<BatchStore> => {
    const store = new BatchStore(memory, epoch, RETENTION_MS, logger)
    await settled(store.open())
    return store
  }
  const batchOf = (store: BatchStore): Batch => store.find('batch-1') as Batch
  const finish = async (store: BatchStore, itemId: string): Promise<unknown> =>
    await store.addResult(batchOf(store), { itemId, state: 'completed', text: `text ${itemId}`, versions: [1] })

  beforeEach(() => {
    time = new VirtualTime()
    memory = new MemoryStore()
  })
  afterEach(() => time.restore())

  // Guards against an item at two positions: the next leader uses the positions behind the gap again.
  it('are no results of a later leader', async () => {
    const first = await lead(1)
    await settled(first.submit(createSpec({ itemCount: 2 }), [createItem('i0', 'g'), createItem('i1', 'g')]))
    memory.appendOutcome = ({ records }) => records.some(({ key }) => key === 'result/batch-1/000000') ? 'rejected' : 'ok'
    finish(first, 'i0').catch(() => undefined)
    await settled(finish(first, 'i1'))
    first.dispose()
    memory.appendOutcome = () => 'ok'
    const second = await lead(2)
    await settled(finish(second, 'i1'))
    second.dispose()
    const third = await lead(3)
    expect(batchOf(third).listedResults().map(({ itemId }) => itemId)).toEqual(['i1'])
    third.dispose()
  })
})
