import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { FleetTable } from '../fleet/FleetTable.js'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { ILeadership } from '../store/ILeadership.js'
import { ModelAssignments } from './ModelAssignments.js'
import { VersionRollout } from './VersionRollout.js'
import { AnnouncedVersions } from './AnnouncedVersions.js'
import type { VersionOrder } from './VersionOrder.js'
import type { VersionOrderOutcome } from './VersionOrderOutcome.js'

const { logger, metrics } = testServices()
const CONFLICT_WINDOW_MS = 3000
const EPOCH = 7

describe('VersionRollout', () => {
  let time: VirtualTime
  let fleet: FleetTable
  let announced: AnnouncedVersions
  let rollout: VersionRollout | undefined
  let isValid: boolean
  let sent: Array<VersionOrder & { engine: string }>
  let queried: string[]
  let recorded: string[]
  let singleVersionRuns: Map<string, number>
  let onRecorded: (engineId: string) => void
  let respond: (order: VersionOrder, engine: FleetUpstream) => VersionOrderOutcome

  beforeEach(() => {
    time = new VirtualTime()
    fleet = new FleetTable(logger)
    announced = new AnnouncedVersions()
    isValid = true
    sent = []
    queried = []
    recorded = []
    singleVersionRuns = new Map()
    onRecorded = () => undefined
    respond = () => 'accepted'
    for (const id of ['a', 'b', 'c']) {
      fleet.apply({ id, startedAtMs: 0, service: 's', address: id, failureDomain: 'd', slots: 4, isDraining: false, versions: new Map([['m', 1]]) })
    }
  })
  afterEach(() => {
    rollout?.dispose()
    fleet.dispose()
    time.restore()
  })

  /** `lastOrderedAgoMs` tells how long ago the previous leader recorded an order, by engine. */
  function start (lastOrderedAgoMs: Record<string, number> = {}): void {
    const startedAtMs = Date.now()
    const workload = { countRunsOn: () => 0, countSingleVersionRunsOn: (id: string) => singleVersionRuns.get(id) ?? 0, countWaitingItems: () => ({ count: 0, minVersion: undefined }), setLoading () {} }
    const orderStore = {
      lastOrderedAtMs: (id: string) => lastOrderedAgoMs[id] === undefined ? undefined : startedAtMs - lastOrderedAgoMs[id],
      recordOrder: async (id: string) => {
        recorded.push(id)
        onRecorded(id)
        return true
      }
    }
    const leadership = { validEpoch: () => isValid ? EPOCH : undefined } as ILeadership
    rollout = new VersionRollout({ epoch: EPOCH, holder: 'host', conflictWindowMs: CONFLICT_WINDOW_MS, workload, orderStore }, leadership, fleet, announced, new ModelAssignments(fleet, announced), {
      send: async (engine, order) => {
        sent.push({ ...order, engine: engine.member.id })
        return respond(order, engine)
      },
      acceptedOrderCount: async engine => {
        queried.push(engine.member.id)
        return 4
      }
    }, logger, metrics)
  }

  const engines = (): string[] => sent.map(order => order.engine)
  const load = (id: string, version: number): void => fleet.find(id)?.recordVersion('m', version)

  it('loads an announced version on idle engines, two at a time, and records each order before sending it', async () => {
    announced.update('m', 2)
    start()
    await time.advance(1200)
    expect(engines()).toEqual(['a', 'b'])
    expect(recorded).toEqual(['a', 'b'])
    expect(sent[0]).toEqual({ engine: 'a', model: 'm', version: 2, mode: 'keep_runs', holder: 'host', epoch: EPOCH, expectedCount: 4 })
    load('a', 2)
    await time.advance(100)
    expect(engines()).toEqual(['a', 'b', 'c'])
  })

  it('counts the orders that an engine accepts, and queries the count again after another order came first', async () => {
    announced.update('m', 2)
    start()
    await time.advance(1200)
    load('a', 2)
    load('b', 2)
    respond = () => 'busy_or_moved'
    announced.update('m', 3)
    await time.advance(1200)
    expect(sent.find(order => order.engine === 'a' && order.version === 3)?.expectedCount).toEqual(5)
    respond = () => 'accepted'
    await time.advance(700)
    expect(queried.filter(id => id === 'a').length).toEqual(2)
  })

  // Guards against a load that spoils a run which started between the choice of the engine and the order.
  it('sends no order to an engine that has begun to run an item of a single version, until it has ended', async () => {
    announced.update('m', 2)
    onRecorded = id => {
      if (id === 'a') singleVersionRuns.set(id, 1)
    }
    start()
    await time.advance(1500)
    expect(engines()).toEqual(['b', 'c'])
    onRecorded = () => undefined
    singleVersionRuns.clear()
    load('b', 2)
    await time.advance(1000)
    expect(engines()).toInclude('a')
  })

  it('sends no order without a valid lease', async () => {
    announced.update('m', 2)
    isValid = false
    start()
    await time.advance(2000)
    expect(sent).toEqual([])
  })

  // A new leader takes over while the previous one was sending orders. Orders of two holders must not conflict.
  it('waits for the conflict window only with engines that the previous holder may have ordered recently', async () => {
    announced.update('m', 2)
    start({ a: 500, b: 20_000 })
    await time.advance(1500)
    expect(engines()).toEqual(['b', 'c'])
    load('b', 2)
    load('c', 2)
    await time.advance(1500)
    expect(engines()).toEqual(['b', 'c'])
    await time.advance(600)
    expect(engines()).toEqual(['b', 'c', 'a'])
  })

  it('sends another order when an engine does not report the version in time', async () => {
    announced.update('m', 2)
    respond = () => 'unknown'
    start()
    await time.advance(1200)
    expect(engines()).toEqual(['a', 'b'])
    await time.advance(4500)
    expect(engines().filter(id => id === 'a').length).toEqual(2)
  })
})
