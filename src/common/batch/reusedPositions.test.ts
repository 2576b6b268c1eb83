import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import type { Batch } from './Batch.js'
import { BatchStore } from './BatchStore.js'
import { StoredBatchReader } from './StoredBatchReader.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

const ID = 'batch-1'
const RETENTION_MS = 120_000
const READ_DEADLINE_MS = 1000
const { logger, metrics } = testServices()

/** Results behind a position whose result did not become durable, in the terms of later leaders. */
describe('results of successive leaders behind a gap', () => {
  let time: VirtualTime
  let memory: MemoryStore
  let leader: BatchStore
  let epoch: number

  beforeEach(() => {
    time = new VirtualTime()
    memory = new MemoryStore()
    epoch = 0
  })
  afterEach(() => {
    leader.dispose()
    time.restore()
  })

  /** Starts the next leader. */
  const lead = async (): Promise<void> => {
    epoch += 1
    leader = new BatchStore(memory, epoch, RETENTION_MS, logger)
    await leader.open()
  }
  const takeOver = async (): Promise<Batch> => {
    leader.dispose()
    await lead()
    const batch = leader.find(ID)
    if (batch === undefined) throw new Error('the batch is lost')
    return batch
  }
  const finish = async (batch: Batch, itemId: string): Promise<void> => {
    await leader.addResult(batch, { itemId, state: 'completed', text: `text of ${itemId}`, versions: [1] })
  }
  const listedBy = (batch: Batch): string[] => batch.listedResults().map(({ itemId }) => itemId)
  const listedInStore = async (): Promise<string[] | string> => {
    const reader = new StoredBatchReader(memory, logger, metrics)
    const outcome = await reader.read(ID, 0, undefined, performance.now() + READ_DEADLINE_MS)
    return outcome.kind === 'results' ? outcome.results.map(({ itemId }) => itemId) : outcome.kind
  }
  /** The results of `a` and `c` become durable at the positions 0 and 2; the store rejects that of `b` at position 1. */
  const leaveGap = async (): Promise<void> => {
    await lead()
    const items = ['a', 'b', 'c', 'd'].map(id => createItem(id, 'g'))
    const batch = (await leader.submit(createSpec({ id: ID, itemCount: items.length }), items))._unsafeUnwrap()
    await finish(batch, 'a')
    memory.appendOutcome = ({ records }) => records.some(({ key }) => key === `result/${ID}/000001`) ? 'rejected' : 'ok'
    finish(batch, 'b').catch(() => undefined)
    await time.advance(20)
    await finish(batch, 'c')
    memory.appendOutcome = () => 'ok'
  }

  // Guards against an item at two positions.
  it('lists an item once when the leader that filled the gap is replaced', async () => {
    await leaveGap()
    const second = await takeOver()
    expect(listedBy(second)).toEqual(['a'])
    await finish(second, 'c')
    const third = await takeOver()
    expect(listedBy(third)).toEqual(['a', 'c'])
  })

  // Guards against a result that another one replaces after it was listed.
  it('lists nothing of an ended batch from the store that its leader does not list', async () => {
    await leaveGap()
    const second = await takeOver()
    await finish(second, 'b')
    await leader.end(second)
    expect(listedBy(second)).toEqual(['a', 'b'])
    expect(await listedInStore()).toEqual(['a', 'b'])
  })

  // Guards against a position that changes: the leader that ended the batch still writes a result that was in flight.
  it('lists the same result at a position of an ended batch before and after a takeover', async () => {
    await leaveGap()
    const second = await takeOver()
    await finish(second, 'b')
    await leader.end(second)
    const before = await listedInStore()
    await finish(second, 'd')
    expect(await listedInStore()).toEqual([...(typeof before === 'string' ? [] : before).slice(0, 2), 'd'])
    expect((typeof before === 'string' ? [] : before)[2] ?? 'd').toEqual('d')
  })
})
