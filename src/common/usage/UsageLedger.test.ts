import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { UsageLedger } from './UsageLedger.js'

const TOPIC = 'keyed.usage'

describe('UsageLedger', () => {
  let time: VirtualTime
  let store: MemoryStore
  const open = async (epoch: number): Promise<UsageLedger> => {
    const ledger = new UsageLedger(store, epoch, testServices().logger)
    expect((await ledger.open()).isOk()).toEqual(true)
    return ledger
  }

  beforeEach(() => {
    time = new VirtualTime()
    store = new MemoryStore()
  })
  afterEach(() => time.restore())

  // Guards against two reports with different counts, and against sending all of them again after a change of the holder.
  it('restores the counts of committed reports, and which of them were sent', async () => {
    const first = await open(1)
    await first.commit([{ window: 5, counts: { x: 1 } }])
    first.complete(5, 'sent')
    await first.commit([{ window: 6, counts: { x: 2 } }, { window: 7, counts: {} }])
    const second = await open(2)
    expect(second.unsent()).toEqual([{ window: 6, counts: { x: 2 } }, { window: 7, counts: {} }])
    expect([4, 5, 6, 7, 8].map(window => second.isCommitted(window))).toEqual([false, true, true, true, false])
    // The previous holder can commit nothing any more.
    expect((await first.commit([{ window: 8, counts: { x: 9 } }])).isErr()).toEqual(true)
    expect((await open(3)).isCommitted(8)).toEqual(false)
  })

  it('neither commits nor sends a window with an unreadable record', async () => {
    store.writeBytes(TOPIC, 'report/5', new Uint8Array([1]))
    const ledger = await open(1)
    expect([ledger.isCommitted(5), ledger.unsent()]).toEqual([true, []])
  })

  // Guards against a topic that grows for ever, and against a second commit of a window without a record.
  it('removes old records but the unsent ones, and still knows that their windows are committed', async () => {
    const ledger = await open(1)
    for (let window = 1; window <= 400; window++) {
      await ledger.commit([{ window, counts: { x: 1 } }])
      if (window !== 300) ledger.complete(window, 'sent')
    }
    expect(store.keys(TOPIC).length < 270).toEqual(true)
    const next = await open(2)
    expect([1, 100, 300, 400, 401].map(window => next.isCommitted(window))).toEqual([true, true, true, true, false])
    // The completion of the newest report is written with the next commit.
    expect(next.unsent().map(({ window }) => window)).toEqual([300, 400])
  })
})
