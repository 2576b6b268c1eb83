import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { BatchService } from './BatchService.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import type { FakeEngines } from './test/FakeEngines.js'

const OWNER = 'huka'
const OTHER = 'puhu'

describe('batches of organisations', () => {
  let time: VirtualTime
  let harness: BatchHarness
  let engines: FakeEngines

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
    ;({ engines } = harness)
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  const settle = async <T>(promise: Promise<T>, durationMs = 20): Promise<T> => {
    await time.advance(durationMs)
    return await promise
  }
  const submit = async (service: BatchService, organisation?: string, id = 'batch-1', step = 0): Promise<string> =>
    await settle(service.submit(createSpec({ id, step, itemCount: 1 }), [createItem('a', 'g')], organisation))
  /** What each call for a batch returns. */
  const callAll = async (service: BatchService, id: string, organisation: string | undefined): Promise<unknown[]> => [
    await settle(service.read(id, 0, 0, organisation)),
    service.findItem(id, 'a', organisation),
    await settle(service.end(id, organisation))
  ]

  // Guards against results, item bodies and ends of batches through the key of another organisation.
  it('do not exist for others, with the same outcomes as ids that were never used', async () => {
    engines.eventCounts = { a: 40 }
    const { service } = await harness.lead(1)
    expect(await submit(service, OWNER)).toEqual('accepted')
    for (const organisation of [OTHER, '', undefined]) {
      expect(await callAll(service, 'batch-1', organisation)).toEqual(await callAll(service, 'batch-9', organisation))
    }
    const own = await callAll(service, 'batch-1', OWNER)
    expect(own.map(outcome => typeof outcome === 'string' ? outcome : (outcome as { kind: string }).kind)).toEqual(['results', 'body', 'accepted'])
  })

  // Guards against a difference between 404 and 503 that tells that a batch of another organisation exists.
  it('are as unavailable as others while the lease of the leader is invalid', async () => {
    const { service, leadership } = await harness.lead(1)
    await submit(service, OWNER)
    leadership.isValid = false
    expect(await callAll(service, 'batch-1', OTHER)).toEqual(await callAll(service, 'batch-9', OTHER))
  })

  // Guards against 202 for a batch that is another one, and that its caller could never read.
  it('keep their id, which no other organisation can use', async () => {
    const { service } = await harness.lead(1)
    await submit(service, OWNER)
    expect([await submit(service, OTHER), await submit(service, undefined), await submit(service, OWNER)]).toEqual(['refused', 'refused', 'accepted'])
  })

  // Guards against two organisations that are both told that their batch was accepted.
  it('keep their id also when two organisations submit it at once', async () => {
    const { service } = await harness.lead(1)
    const spec = createSpec({ itemCount: 1 })
    const outcomes = [OWNER, OTHER].map(async organisation => await service.submit(spec, [createItem('a', 'g')], organisation))
    expect(await settle(Promise.all(outcomes))).toEqual(['accepted', 'refused'])
    expect(await harness.resultsOf(service, 0, OTHER)).toEqual('absent')
  })

  it('are stored with the organisation of the caller, also if the parameters name another', async () => {
    const { service } = await harness.lead(1)
    await settle(service.submit(createSpec({ itemCount: 1, organisation: OTHER }), [createItem('a', 'g')], OWNER))
    expect([await harness.resultsOf(service, 0, OTHER), typeof await harness.resultsOf(service, 0, OWNER)]).toEqual(['absent', 'object'])
  })

  // Guards against items that reach engines without their organisation after a retry or a change of the leader.
  it('name their organisation in each run of their items, also after a broken run and a takeover', async () => {
    engines.eventCounts = { a: 60 }
    engines.breakAfterEvent = { a: 5 }
    const { service } = await harness.lead(1)
    await submit(service, OWNER)
    await time.advance(1500)
    service.dispose()
    const { service: next } = await harness.lead(2)
    await time.advance(4000)
    expect(engines.organisations.length >= 3).toEqual(true)
    expect(new Set(engines.organisations)).toEqual(new Set([OWNER]))
    expect(await harness.resultsOf(next, 0, OTHER)).toEqual('absent')
    const results = await harness.resultsOf(next, 0, OWNER)
    expect(typeof results === 'string' ? results : results.map(result => result.text)).toEqual([engines.textOf('a')])
  })

  // Guards against the output of one organisation in the results of another, because both use the same item id.
  it('reuse the output of items of ended batches only for their organisation', async () => {
    engines.eventCounts = { a: 60 }
    const { service } = await harness.lead(1)
    await submit(service, OWNER)
    await time.advance(1000)
    await settle(service.end('batch-1', OWNER))
    await submit(service, OTHER, 'batch-2', 1)
    await time.advance(100)
    expect(engines.resumedAt('a')).toEqual(0)
    await settle(service.end('batch-2', OTHER))
    await submit(service, OWNER, 'batch-3', 1)
    await time.advance(100)
    expect(engines.resumedAt('a') >= 10).toEqual(true)
  })

  // Batches of public routes, and of the time before organisations were configured, have no owner.
  it('are readable by all callers if they have no organisation', async () => {
    engines.eventCounts = { a: 2 }
    const { service } = await harness.lead(1)
    await submit(service)
    await time.advance(500)
    for (const organisation of [undefined, OWNER]) expect(typeof await harness.resultsOf(service, 0, organisation)).toEqual('object')
    expect(engines.organisations).toEqual([undefined])
  })
})
