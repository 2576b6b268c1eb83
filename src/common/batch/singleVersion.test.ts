import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { BatchService } from './BatchService.js'
import type { HandoffProgress } from './record/HandoffProgress.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createRoute } from './test/createRoute.js'
import { createSpec } from './test/createSpec.js'

const EVENTS = 20

/** Guards against results with several versions, whatever led to them (review/2). */
describe('batches on a route with a single version', () => {
  let time: VirtualTime
  let harness: BatchHarness
  let service: BatchService

  beforeEach(async () => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
    harness.configure([createRoute({ isSingleVersion: true })])
    harness.engines.eventCounts = { a: EVENTS }
    service = (await harness.lead(1)).service
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  async function submit (): Promise<void> {
    const submitted = service.submit(createSpec(), [createItem('a', 'g')])
    await time.advance(20)
    expect(await submitted).toEqual('accepted')
  }
  const handOff = (progress: Partial<HandoffProgress[number]>): boolean =>
    service.acceptHandoff([{ batchId: 'batch-1', itemId: 'a', events: ['x', 'y'], versions: [1], isComplete: false, ...progress }])
  /** Text and versions of the results. */
  async function listed (): Promise<unknown> {
    const results = await harness.resultsOf(service)
    return typeof results === 'string' ? results : results.map(({ text, versions }) => ({ text, versions }))
  }
  const whole = (version: number): unknown => [{ text: harness.engines.textOf('a'), versions: [version] }]

  it('run an item again from the start when its engine loads a version midway', async () => {
    harness.engines.versionFromEvent = { a: { eventId: 8, version: 2 } }
    harness.engines.versions = { e1: 1, e2: 2 }
    harness.fleet.find('e2')?.recordVersion('model-a', 2)
    await submit()
    await time.advance(4000)
    expect(await listed()).toEqual(whole(2))
    expect(harness.engines.runs.length).toEqual(2)
  })

  it('resume an item only at an engine that has its version, also if the engine has loaded another one unnoticed', async () => {
    harness.engines.breakAfterEvent = { a: 7 }
    harness.engines.versions = { e1: 1, e2: 1 }
    await submit()
    await time.advance(100)
    harness.engines.versions = { e1: 2, e2: 2 }
    await time.advance(4000)
    expect(await listed()).toEqual(whole(2))
  })

  it('run an item again whose output another leader has handed over with two versions', async () => {
    await submit()
    handOff({ versions: [1, 2], isComplete: true, events: Array(EVENTS).fill('x') })
    await time.advance(4000)
    expect(await listed()).toEqual(whole(1))
  })

  it('run an item again whose version no engine has, while others have older ones', async () => {
    harness.engines.versions = { e1: 3, e2: 1 }
    harness.fleet.find('e1')?.recordVersion('model-a', 3)
    await submit()
    handOff({ versions: [2], events: Array(EVENTS - 5).fill('x') })
    await time.advance(4000)
    const [result] = await listed() as Array<{ text: string, versions: number[] }>
    expect(result?.text).toEqual(harness.engines.textOf('a'))
    expect(result?.versions.length).toEqual(1)
  })
})
