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
const TURNS_MS = 3000
const EPOCH = 7

describe('VersionDuty', () => {
  let time: VirtualTime
  let fleet: FleetTable
  let names: AnnouncedVersions
  let duty: VersionRollout | undefined
  let isValid: boolean
  let sent: Array<VersionOrder & { engine: string }>
  let asked: string[]
  let noted: string[]
  let answer: (order: VersionOrder, engine: FleetUpstream) => VersionOrderOutcome

  beforeEach(() => {
    time = new VirtualTime()
    fleet = new FleetTable(logger)
    names = new AnnouncedVersions()
    isValid = true
    sent = []
    asked = []
    noted = []
    answer = () => 'accepted'
    for (const id of ['a', 'b', 'c']) {
      fleet.apply({ id, startedAtMs: 0, service: 's', address: id, failureDomain: 'd', slots: 4, isDraining: false, versions: new Map([['m', 1]]) })
    }
  })
  afterEach(() => {
    duty?.dispose()
    fleet.dispose()
    time.restore()
  })

  /** `lastOrderedAgoMs` are the times of orders that the leader before has put on record. */
  function start (lastOrderedAgoMs: Record<string, number> = {}): void {
    const startedAtMs = Date.now()
    const loads = { runningOn: () => 0, waitingFor: () => ({ count: 0, minVersion: undefined }), noteLoading () {} }
    const orders = {
      lastOrderedAtMs: (id: string) => lastOrderedAgoMs[id] === undefined ? undefined : startedAtMs - lastOrderedAgoMs[id],
      noteOrder: async (id: string) => {
        noted.push(id)
        return true
      }
    }
    const leadership = { validEpoch: () => isValid ? EPOCH : undefined } as ILeadership
    duty = new VersionRollout({ epoch: EPOCH, holder: 'host', conflictWindowMs: TURNS_MS, workload: loads, orderStore: orders }, leadership, fleet, names, new ModelAssignments(fleet, names), {
      send: async (engine, order) => {
        sent.push({ ...order, engine: engine.member.id })
        return answer(order, engine)
      },
      acceptedOrderCount: async engine => {
        asked.push(engine.member.id)
        return 4
      }
    }, logger, metrics)
  }

  const engines = (): string[] => sent.map(order => order.engine)
  const load = (id: string, version: number): void => fleet.find(id)?.recordVersion('m', version)

  it('moves idle engines to a named version, two at a time, each order on record first', async () => {
    names.update('m', 2)
    start()
    await time.advance(1200)
    expect(engines()).toEqual(['a', 'b'])
    expect(noted).toEqual(['a', 'b'])
    expect(sent[0]).toEqual({ engine: 'a', model: 'm', version: 2, mode: 'keep_runs', holder: 'host', epoch: EPOCH, expectedCount: 4 })
    load('a', 2)
    await time.advance(100)
    expect(engines()).toEqual(['a', 'b', 'c'])
  })

  it('counts the orders that an engine has accepted itself, and asks again when another came between', async () => {
    names.update('m', 2)
    start()
    await time.advance(1200)
    load('a', 2)
    load('b', 2)
    answer = () => 'busy_or_moved'
    names.update('m', 3)
    await time.advance(1200)
    expect(sent.find(order => order.engine === 'a' && order.version === 3)?.expectedCount).toEqual(5)
    answer = () => 'accepted'
    await time.advance(700)
    expect(asked.filter(id => id === 'a').length).toEqual(2)
  })

  it('gives no order without a valid lease, also when it ends while the engine is asked', async () => {
    names.update('m', 2)
    isValid = false
    start()
    await time.advance(2000)
    expect(sent).toEqual([])
  })

  // Load: a new leader takes over while the one before was moving engines.
  it('waits with engines that the holder before may have ordered until that is no turn, and only with those', async () => {
    names.update('m', 2)
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

  it('orders again when an engine does not show its version in time', async () => {
    names.update('m', 2)
    answer = () => 'unknown'
    start()
    await time.advance(1200)
    expect(engines()).toEqual(['a', 'b'])
    await time.advance(4500)
    expect(engines().filter(id => id === 'a').length).toEqual(2)
  })
})
