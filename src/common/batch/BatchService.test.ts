import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { MemoryStore } from '../store/test/MemoryStore.js'
import type { BatchService } from './BatchService.js'
import type { HandoffProgress } from './record/HandoffProgress.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createRoute } from './test/createRoute.js'
import { createSpec } from './test/createSpec.js'
import type { FakeEngines } from './test/FakeEngines.js'

describe('BatchService', () => {
  let time: VirtualTime
  let harness: BatchHarness
  let store: MemoryStore
  let engines: FakeEngines
  const lead: BatchHarness['lead'] = async epoch => await harness.lead(epoch)

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
    ;({ store, engines } = harness)
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  const items = [createItem('a', 'g'), createItem('b', 'g')]
  const spec = (): ReturnType<typeof createSpec> => createSpec({ itemCount: 2 })
  /** Returns a leader of epoch 1 that has accepted the batch and has run it for `runMs`. */
  const leadWithBatch = async (runMs: number): ReturnType<typeof lead> => {
    const first = await lead(1)
    const submitted = first.service.submit(spec(), items)
    await time.advance(runMs)
    await submitted
    return first
  }
  const textsOf = async (service: BatchService, fromPosition = 0): Promise<string[] | string> => {
    const results = await harness.resultsOf(service, fromPosition)
    return typeof results === 'string' ? results : results.map(result => result.text)
  }

  it('accepts a batch once its records are durable, runs its items and returns the results at fixed positions', async () => {
    engines.eventCounts = { a: 10, b: 4 }
    const { service } = await lead(1)
    const submitted = service.submit(spec(), items)
    await time.advance(10)
    expect(await submitted).toEqual('accepted')
    expect(store.keys('keyed.batches')).toInclude('batch/batch-1')
    await time.advance(1000)
    expect(await textsOf(service)).toEqual([engines.textOf('b'), engines.textOf('a')])
    expect(await textsOf(service, 1)).toEqual([engines.textOf('a')])
  })

  // Guards against results without their texts after a read from a position that is no integer.
  it('returns no result without its text, also from a fractional position', async () => {
    const { leadership } = await leadWithBatch(1000)
    leadership.lose()
    const texts = await textsOf((await lead(2)).service, 0.5)
    expect(texts === 'unavailable' || !texts.includes('')).toEqual(true)
  })

  it('does not accept a batch that the store has not accepted', async () => {
    const { service } = await lead(1)
    store.isDown = true
    const submitted = service.submit(spec(), items)
    await time.advance(3000)
    expect(await submitted).toEqual('unknown')
    const refused = service.submit(createSpec({ id: 'batch-2' }), items)
    await time.advance(10)
    expect(await refused).toEqual('refused')
  })

  // Guards against positions that another leader uses again: a result after a gap has no position yet.
  it('lists no result after one that the store has rejected, wherever a read begins', async () => {
    engines.eventCounts = { a: 10, b: 4 }
    const { service } = await lead(1)
    store.appendOutcome = ({ records }) => records.some(({ key }) => key === 'result/batch-1/000000') ? 'rejected' : 'ok'
    const submitted = service.submit(spec(), items)
    await time.advance(1000)
    await submitted
    expect(await textsOf(service, 1)).toEqual([])
    store.appendOutcome = () => 'ok'
    await time.advance(1000)
    expect(await textsOf(service, 1)).toEqual([engines.textOf('a')])
  })

  // Guards against callers that wait for a write that cannot become durable.
  it('refuses to end a batch at once while the store has failed for some time', async () => {
    const { service } = await leadWithBatch(50)
    store.isDown = true
    await time.advance(1500)
    const ended = service.end('batch-1')
    await time.advance(10)
    expect(await ended).toEqual('refused')
  })

  // Guards against reads that a leader without access to the store holds until their callers give up.
  it('answers a read at once without a valid lease, if it has not got what the read needs', async () => {
    engines.eventCounts = { a: 10, b: 4 }
    const first = await leadWithBatch(1000)
    first.service.dispose()
    const { service, leadership } = await lead(2)
    leadership.isValid = false
    const read = service.read('batch-1', 0, 1000)
    await time.advance(10)
    expect((await read).kind).toEqual('unavailable')
    const beyond = service.read('batch-1', 2, 1000)
    await time.advance(10)
    expect((await beyond).kind).toEqual('unavailable')
  })

  // Guards against an item that is never placed again, and a slot that is never free again, after an unexpected error.
  it('runs an item again after an unexpected error of its run', async () => {
    engines.eventCounts = { a: 3, b: 3 }
    engines.throwing.add('a')
    const { service } = await leadWithBatch(2000)
    expect((await textsOf(service)).toString()).toEqual([engines.textOf('b'), engines.textOf('a')].toString())
  })

  // The leader fails while long items are running. Their output must not be lost or duplicated.
  it('resumes after the saved events on a takeover, with all texts complete and at their positions', async () => {
    engines.eventCounts = { a: 60, b: 5 }
    const first = await leadWithBatch(1500)
    const before = await textsOf(first.service)
    first.service.dispose()
    const second = await lead(2)
    expect(engines.resumedAt('a') > 10).toEqual(true)
    await time.advance(3000)
    expect(await textsOf(second.service)).toEqual([...before, engines.textOf('a')])
  })

  // A leader that loses only its connection to the store continues to generate until it learns of the next leader.
  it('resumes from the output that the previous leader hands off, including complete output', async () => {
    engines.eventCounts = { a: 60, b: 30 }
    const first = await leadWithBatch(200)
    store.isDown = true
    const handoffs: HandoffProgress[] = []
    first.service.onHandoffProgress(progress => handoffs.push(progress))
    await time.advance(1500)
    store.isDown = false
    first.leadership.lose()
    expect(handoffs[0]?.map(({ itemId, isComplete }) => `${itemId} ${isComplete}`).sort()).toEqual(['a false', 'b true'])
    const second = await lead(2)
    expect(second.service.acceptHandoff(handoffs[0] ?? [])).toEqual(true)
    await time.advance(100)
    expect(engines.resumedAt('a') >= 25).toEqual(true)
    expect(await textsOf(second.service)).toEqual([engines.textOf('b')])
    await time.advance(2500)
    expect(await textsOf(second.service)).toEqual([engines.textOf('b'), engines.textOf('a')])
  })

  // A second takeover follows soon after a hand-off, when the store holds parts of two sequences of runs.
  it('never joins saved events of one sequence of runs with those of another', async () => {
    engines.eventCounts = { a: 80, b: 5 }
    const first = await leadWithBatch(1200)
    first.service.dispose()
    const second = await lead(2)
    await time.advance(600)
    const other = Array.from({ length: 50 }, (_, index) => `other${index + 1}`)
    second.service.acceptHandoff([{ batchId: 'batch-1', itemId: 'a', events: [...other], versions: [1], isComplete: false }])
    await time.advance(600)
    second.service.dispose()
    const third = await lead(3)
    await time.advance(3000)
    const texts = await textsOf(third.service)
    expect(texts).toHaveLength(2)
    expect(texts[1]?.split('\n').slice(0, 50)).toEqual(other)
  })

  it('runs no item of a batch that an earlier leader has ended, but still returns its results', async () => {
    engines.eventCounts = { a: 60, b: 5 }
    const first = await leadWithBatch(800)
    const ended = first.service.end('batch-1')
    await time.advance(20)
    expect(await ended).toEqual('accepted')
    first.service.dispose()
    const runs = engines.runs.length
    const second = await lead(2)
    await time.advance(1000)
    expect(engines.runs.length).toEqual(runs)
    expect(await textsOf(second.service)).toEqual([engines.textOf('b')])
    const repeated = second.service.end('batch-1')
    await time.advance(20)
    expect(await repeated).toEqual('accepted')
  })

  it('does not report a batch as absent without a valid lease, but returns the results that it has', async () => {
    engines.eventCounts = { a: 2, b: 2 }
    const { service, leadership } = await lead(1)
    const submitted = service.submit(spec(), items)
    await time.advance(500)
    await submitted
    leadership.isValid = false
    const withoutLease = service.read('batch-9', 0, 0)
    await time.advance(5)
    expect((await withoutLease).kind).toEqual('unavailable')
    expect((await textsOf(service)).length).toEqual(2)
    expect(await textsOf(service, 2)).toEqual('unavailable')
    leadership.isValid = true
    const withLease = service.read('batch-9', 0, 0)
    await time.advance(5)
    expect((await withLease).kind).toEqual('absent')
  })

  // Guards against output that is never listed, and items that stay open for ever, because the route was removed.
  it('lists the output of items that run when their route is removed, and aborts those that wait', async () => {
    engines.eventCounts = { a: 20, b: 20 }
    engines.breakAfterEvent = { b: 10 }
    const { service } = await leadWithBatch(300)
    harness.configure([])
    await time.advance(2000)
    expect(await textsOf(service)).toEqual([engines.textOf('a')])
    await time.advance(9000)
    const results = await harness.resultsOf(service)
    expect(typeof results === 'string' ? results : results.map(({ itemId, state }) => `${itemId} ${state}`)).toEqual(['a completed', 'b aborted'])
    expect(engines.runs.filter(run => run.startsWith('b')).length).toEqual(1)
  })

  // The operator corrects a configuration, or the leader reads it later than the entry that accepted the batch.
  it('runs the waiting items when their route is back in time', async () => {
    engines.eventCounts = { a: 20, b: 20 }
    engines.breakAfterEvent = { b: 10 }
    const { service } = await leadWithBatch(300)
    harness.configure([])
    await time.advance(5000)
    harness.configure([createRoute()])
    await time.advance(8000)
    expect(await textsOf(service)).toEqual([engines.textOf('a'), engines.textOf('b')])
  })

  // Guards against accepted items that a leader gives up because it cannot read the configuration after a restart.
  it('aborts no item for want of a route while it does not know the newest configuration', async () => {
    engines.eventCounts = { a: 20, b: 20 }
    engines.breakAfterEvent = { b: 10 }
    harness.isConfigReadable = false
    harness.configure([])
    const { service } = await leadWithBatch(15_000)
    expect(await textsOf(service)).toEqual([])
    harness.isConfigReadable = true
    await time.advance(5000)
    harness.isConfigReadable = false
    await time.advance(15_000)
    expect(await textsOf(service)).toEqual([])
    harness.configure([createRoute()])
    await time.advance(3000)
    expect(await textsOf(service)).toEqual([engines.textOf('a'), engines.textOf('b')])
  })

  // Guards against 404 for a batch that was accepted and whose records cannot be read (review/1).
  it('does not report a batch as absent whose records it cannot read', async () => {
    const first = await leadWithBatch(20)
    first.service.dispose()
    store.write('keyed.batches', 'items/batch-1/000000', 'damaged')
    const { service } = await lead(2)
    expect(await textsOf(service)).toEqual('unavailable')
    expect(service.findItem('batch-1', 'a').kind).toEqual('unavailable')
    const repeated = service.submit(spec(), items)
    await time.advance(20)
    expect(await repeated).toEqual('refused')
    expect(service.findItem('batch-9', 'a').kind).toEqual('absent')
  })

  // One item crashes each engine that starts it.
  it('retries an item that breaks before its first event with a growing back-off, while others continue', async () => {
    engines.eventCounts = { a: 5, b: 5 }
    engines.crashing.add('a')
    const { service } = await lead(1)
    const submitted = service.submit(spec(), items)
    await time.advance(6000, 20)
    await submitted
    expect(await textsOf(service)).toEqual([engines.textOf('b')])
    expect(engines.runs.filter(run => run.startsWith('a')).length <= 8).toEqual(true)
  })

  it('resumes an item whose stream breaks, and aborts one after the maximum number of attempts of the route', async () => {
    engines.eventCounts = { a: 20, b: 5 }
    engines.breakAfterEvent = { a: 7 }
    engines.failing.add('b')
    const { service } = await lead(1)
    const submitted = service.submit(spec(), items)
    await time.advance(2500)
    await submitted
    const outcome = service.read('batch-1', 0, 0)
    await time.advance(5)
    const read = await outcome
    const results = read.kind === 'results' ? read.results.map(({ itemId, state }) => `${itemId} ${state}`) : []
    expect(results.sort()).toEqual(['a completed', 'b aborted'])
    expect(engines.runs.filter(run => run.startsWith('b')).length).toEqual(2)
    expect(await textsOf(service)).toInclude(engines.textOf('a'))
  })
})
