import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { FakeLeadership } from '../store/test/FakeLeadership.js'
import { BatchService } from './BatchService.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

// Guards against a leader that renews its lease and serves nothing, so that no other entry may take over.
describe('BatchService gives the leadership up', () => {
  let time: VirtualTime
  let harness: BatchHarness

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  it('when its journal is fenced while it opens', async () => {
    await harness.lead(2)
    const { service, leadership } = await harness.lead(1)
    expect(leadership.isLeader).toEqual(false)
    expect(service.isServing).toEqual(false)
  })

  it('when its journal is fenced later, and accepts nothing', async () => {
    const { service, leadership } = await harness.lead(1)
    await harness.lead(2)
    const submitted = service.submit(createSpec({ itemCount: 1 }), [createItem('a', 'g')])
    await time.advance(50)
    expect(await submitted).not.toEqual('accepted')
    expect(leadership.isLeader).toEqual(false)
    expect(service.isServing).toEqual(false)
  })

  it('when its term cannot start', async () => {
    const leadership = new FakeLeadership()
    const createRunner = (): never => { throw new Error('no runner') }
    const service = new BatchService(harness.store, leadership, createRunner, 1000, testServices().logger)
    leadership.gain(1)
    await time.advance(50)
    expect(leadership.isLeader).toEqual(false)
    expect(service.isServing).toEqual(false)
    service.dispose()
  })
})
