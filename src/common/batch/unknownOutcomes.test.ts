import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { MemoryStore } from '../store/test/MemoryStore.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

/** Responses of a leader that does not know yet what the store holds. */
describe('responses of BatchService while the outcome is unknown', () => {
  let time: VirtualTime
  let harness: BatchHarness
  let store: MemoryStore

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
    ;({ store } = harness)
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  const items = [createItem('a', 'g'), createItem('b', 'g')]
  const spec = (): ReturnType<typeof createSpec> => createSpec({ itemCount: 2 })

  // Guards against a 503, which promises that nothing runs, for a submission whose first attempt is still being written.
  it('does not report a repeated submission as refused while the first attempt may become durable', async () => {
    const { service } = await harness.lead(1)
    store.isDown = true
    const first = service.submit(spec(), items)
    await time.advance(2600)
    expect(await first).toEqual('unknown')
    const repeated = service.submit(spec(), items)
    await time.advance(2600)
    const outcome = await repeated
    store.isDown = false
    await time.advance(1000)
    expect(store.keys('keyed.batches')).toInclude('batch/batch-1')
    expect(outcome).toEqual('unknown')
  })

  // Guards against a 404 for a batch that is in the store already, and that the next response of the store lets exist.
  it('does not report a batch as absent while its submission may have become durable', async () => {
    const { service } = await harness.lead(1)
    store.appendOutcome = () => 'answer_lost'
    const submitted = service.submit(spec(), items)
    await time.advance(100)
    expect(store.keys('keyed.batches')).toInclude('batch/batch-1')
    expect([await harness.resultsOf(service), service.findItem('batch-1', 'a').kind]).toEqual(['unavailable', 'unavailable'])
    store.appendOutcome = () => 'ok'
    await time.advance(2600)
    expect(await submitted).toEqual('accepted')
  })
})
