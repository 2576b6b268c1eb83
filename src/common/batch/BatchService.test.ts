import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { FleetTable } from '../fleet/FleetTable.js'
import { Emitter } from '../kernel/Emitter.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { Route } from '../routing/Route.js'
import { RouteTable } from '../routing/RouteTable.js'
import type { ILeadership } from '../store/ILeadership.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { BatchService } from './BatchService.js'
import type { HandoffProgress } from './record/HandoffProgress.js'
import { BatchRunner } from './run/BatchRunner.js'
import { EngineTracker } from './run/EngineTracker.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import { FakeEngines } from './test/FakeEngines.js'

const { logger, metrics } = testServices()
const KEEP_MS = 120_000
const PACE_MS = 50

/** A leadership that the test gives and takes. */
class FakeLeadership implements ILeadership {
  private readonly _gained = new Emitter<number>()
  private readonly _lost = new Emitter<void>()
  readonly onGained = this._gained.event
  readonly onLost = this._lost.event
  isValid = true
  latestKnownEpoch: number | undefined

  get isLeader (): boolean { return this.latestKnownEpoch !== undefined }
  validEpoch (): number | undefined { return this.isValid ? this.latestKnownEpoch : undefined }
  leaderAddress (): string | undefined { return undefined }
  observeLeader (): void {}
  async release (): Promise<void> { this.lose() }

  gain (epoch: number): void {
    this.latestKnownEpoch = epoch
    this._gained.fire(epoch)
  }

  lose (): void {
    this.latestKnownEpoch = undefined
    this._lost.fire()
  }
}

describe('BatchDesk', () => {
  let time: VirtualTime
  let store: MemoryStore
  let engines: FakeEngines
  let fleet: FleetTable
  let routes: RouteTable
  const opened: BatchService[] = []

  beforeEach(() => {
    time = new VirtualTime()
    store = new MemoryStore()
    engines = new FakeEngines(PACE_MS)
    fleet = new FleetTable(logger)
    routes = new RouteTable(logger)
    const route: Route = {
      name: 'r',
      host: 'host.example',
      pathPrefix: '/batches/',
      kind: 'batch',
      services: [{ name: 'engines', weight: 1 }],
      maxAttempts: 2,
      timeoutMs: 1000,
      targetLatencyMs: 100,
      priority: 0,
      isResumable: true,
      batchDeadlineMs: 7500,
      batchRetentionMs: 40_000,
      isSingleVersion: false
    }
    routes.apply({ version: 1, routes: [route], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    for (const id of ['e1', 'e2']) {
      fleet.apply({ id, startedAtMs: 1, service: 'engines', address: id, failureDomain: 'd', slots: 4, isDraining: false, versions: new Map([['model-a', 1]]) })
    }
  })
  afterEach(() => {
    for (const desk of opened.splice(0)) desk.dispose()
    fleet.dispose()
    time.restore()
  })

  async function lead (epoch: number): Promise<{ desk: BatchService, leadership: FakeLeadership }> {
    const leadership = new FakeLeadership()
    const desk = new BatchService(store, leadership, batches =>
      new BatchRunner(batches, fleet, routes, engines, new EngineTracker(fleet, routes), logger, metrics), KEEP_MS, logger)
    opened.push(desk)
    leadership.gain(epoch)
    await time.advance(50)
    return { desk, leadership }
  }

  const items = [createItem('a', 'g'), createItem('b', 'g')]
  const spec = (): ReturnType<typeof createSpec> => createSpec({ itemCount: 2 })
  /** A first leader that has run the accepted batch for this time. */
  const leadWithBatch = async (runMs: number): ReturnType<typeof lead> => {
    const first = await lead(1)
    const submitted = first.desk.submit(spec(), items)
    await time.advance(runMs)
    await submitted
    return first
  }
  const textsOf = async (desk: BatchService, after = 0): Promise<string[] | string> => {
    const reading = desk.read('batch-1', after, 0)
    await time.advance(20)
    const outcome = await reading
    return outcome.kind === 'results' ? outcome.results.map(result => result.text) : outcome.kind
  }

  it('accepts a batch once its records are durable, runs its items and lists them in fixed positions', async () => {
    engines.eventCounts = { a: 10, b: 4 }
    const { desk } = await lead(1)
    const submitted = desk.submit(spec(), items)
    await time.advance(10)
    expect(await submitted).toEqual('accepted')
    expect(store.keys('keyed.batches')).toInclude('batch/batch-1')
    await time.advance(1000)
    expect(await textsOf(desk)).toEqual([engines.textOf('b'), engines.textOf('a')])
    expect(await textsOf(desk, 1)).toEqual([engines.textOf('a')])
  })

  it('accepts nothing that the store has not taken', async () => {
    const { desk } = await lead(1)
    store.isDown = true
    const submitted = desk.submit(spec(), items)
    await time.advance(3000)
    expect(await submitted).toEqual('unknown')
    const refused = desk.submit(createSpec({ id: 'batch-2' }), items)
    await time.advance(10)
    expect(await refused).toEqual('refused')
  })

  // Load: the leader is lost while long items run.
  it('goes on behind the saved events after a takeover, with all texts whole and in their positions', async () => {
    engines.eventCounts = { a: 60, b: 5 }
    const first = await leadWithBatch(1500)
    const before = await textsOf(first.desk)
    first.desk.dispose()
    const second = await lead(2)
    expect(engines.resumedAt('a') > 10).toEqual(true)
    await time.advance(3000)
    expect(await textsOf(second.desk)).toEqual([...before, engines.textOf('a')])
  })

  // Load: a leader that is cut off from the store alone goes on generating until it hears of the next one.
  it('goes on behind what the leader before passes on, also when that is whole', async () => {
    engines.eventCounts = { a: 60, b: 30 }
    const first = await leadWithBatch(200)
    store.isDown = true
    const left: HandoffProgress[] = []
    first.desk.onHandoffProgress(progress => left.push(progress))
    await time.advance(1500)
    store.isDown = false
    first.leadership.lose()
    expect(left[0]?.map(({ itemId, isComplete }) => `${itemId} ${isComplete}`).sort()).toEqual(['a false', 'b true'])
    const second = await lead(2)
    expect(second.desk.acceptHandoff(left[0] ?? [])).toEqual(true)
    await time.advance(100)
    expect(engines.resumedAt('a') >= 25).toEqual(true)
    expect(await textsOf(second.desk)).toEqual([engines.textOf('b')])
    await time.advance(2500)
    expect(await textsOf(second.desk)).toEqual([engines.textOf('b'), engines.textOf('a')])
  })

  // Load: a second takeover follows soon after progress was passed on.
  it('never joins saved events of one chain of runs with those of another', async () => {
    engines.eventCounts = { a: 80, b: 5 }
    const first = await leadWithBatch(1200)
    first.desk.dispose()
    const second = await lead(2)
    await time.advance(600)
    const other = Array.from({ length: 50 }, (_, index) => `other${index + 1}`)
    second.desk.acceptHandoff([{ batchId: 'batch-1', itemId: 'a', events: [...other], versions: [1], isComplete: false }])
    await time.advance(600)
    second.desk.dispose()
    const third = await lead(3)
    await time.advance(3000)
    const texts = await textsOf(third.desk)
    expect(texts).toHaveLength(2)
    expect(texts[1]?.split('\n').slice(0, 50)).toEqual(other)
  })

  it('runs no item of a batch that an earlier leader has ended, and still lists what it had', async () => {
    engines.eventCounts = { a: 60, b: 5 }
    const first = await leadWithBatch(800)
    const ended = first.desk.end('batch-1')
    await time.advance(20)
    expect(await ended).toEqual('accepted')
    first.desk.dispose()
    const runs = engines.runs.length
    const second = await lead(2)
    await time.advance(1000)
    expect(engines.runs.length).toEqual(runs)
    expect(await textsOf(second.desk)).toEqual([engines.textOf('b')])
    const repeated = second.desk.end('batch-1')
    await time.advance(20)
    expect(await repeated).toEqual('accepted')
  })

  it('cannot say that a batch is absent while it has no valid lease, but gives the results that it has', async () => {
    engines.eventCounts = { a: 2, b: 2 }
    const { desk, leadership } = await lead(1)
    const submitted = desk.submit(spec(), items)
    await time.advance(500)
    await submitted
    leadership.isValid = false
    const absent = desk.read('batch-9', 0, 0)
    await time.advance(5)
    expect((await absent).kind).toEqual('unsure')
    expect((await textsOf(desk)).length).toEqual(2)
    expect(await textsOf(desk, 2)).toEqual('unsure')
    leadership.isValid = true
    const sure = desk.read('batch-9', 0, 0)
    await time.advance(5)
    expect((await sure).kind).toEqual('absent')
  })

  // Load: one item crashes each engine that begins to run it.
  it('sends an item that breaks before its first event ever more rarely, and the others go on', async () => {
    engines.eventCounts = { a: 5, b: 5 }
    engines.crashing.add('a')
    const { desk } = await lead(1)
    const submitted = desk.submit(spec(), items)
    await time.advance(6000, 20)
    await submitted
    expect(await textsOf(desk)).toEqual([engines.textOf('b')])
    expect(engines.runs.filter(run => run.startsWith('a')).length <= 8).toEqual(true)
  })

  it('moves on when an engine breaks a stream off, and gives an item up after as many failures as the route allows', async () => {
    engines.eventCounts = { a: 20, b: 5 }
    engines.breakAfterEvent = { a: 7 }
    engines.failing.add('b')
    const { desk } = await lead(1)
    const submitted = desk.submit(spec(), items)
    await time.advance(2500)
    await submitted
    const outcome = desk.read('batch-1', 0, 0)
    await time.advance(5)
    const read = await outcome
    const results = read.kind === 'results' ? read.results.map(({ itemId, state }) => `${itemId} ${state}`) : []
    expect(results.sort()).toEqual(['a completed', 'b aborted'])
    expect(engines.runs.filter(run => run.startsWith('b')).length).toEqual(2)
    expect(await textsOf(desk)).toInclude(engines.textOf('a'))
  })
})
