import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { FleetMember } from './FleetMember.js'
import { FleetTable } from './FleetTable.js'

const member = (overrides: Partial<FleetMember> = {}): FleetMember =>
  ({ id: 'u1', startedAtMs: 100, service: 's', address: '10.0.0.1:1', failureDomain: 'd', slots: 2, isDraining: false, versions: new Map([['m', 1]]), ...overrides })

describe('FleetTable', () => {
  let time: VirtualTime
  let fleet: FleetTable
  let removed: string[]

  beforeEach(() => {
    time = new VirtualTime()
    fleet = new FleetTable(testServices().logger)
    removed = []
    fleet.onRemoved(upstream => removed.push(`${upstream.member.id}/${upstream.member.startedAtMs}`))
    fleet.apply(member())
  })
  afterEach(() => {
    fleet.dispose()
    time.restore()
  })

  const available = (): string[] => fleet.listAvailable('s').map(upstream => upstream.member.id)

  it('stops using an upstream at once when it drains or its record is removed', () => {
    fleet.apply(member({ id: 'u2' }))
    fleet.apply(member({ id: 'u2', isDraining: true }))
    expect(available()).toEqual(['u1'])
    fleet.remove('u1', 0)
    expect(available()).toEqual([])
    expect(removed).toEqual(['u1/100'])
  })

  // The record of a server that leaves may say nothing of it, and may lapse and return in an outage of the store.
  it('uses an incarnation no more that said that it leaves, whatever its record says later', () => {
    fleet.find('u1')?.recordLeaving()
    fleet.apply(member())
    expect(available()).toEqual([])
    fleet.remove('u1', 0)
    fleet.apply(member())
    expect(available()).toEqual([])
    fleet.apply(member({ startedAtMs: 200 }))
    expect(available()).toEqual(['u1'])
  })

  it('keeps an upstream whose record expired in an outage until the grace period has passed', async () => {
    fleet.apply(member({ id: 'u2' }))
    fleet.remove('u1', 1000)
    fleet.remove('u2', 1000)
    await time.advance(900)
    fleet.apply(member({ id: 'u2' }))
    await time.advance(200)
    expect(available()).toEqual(['u2'])
  })

  it('treats a restart under the same id as another upstream, and ignores a late record of the previous incarnation', () => {
    const previous = fleet.find('u1')
    previous?.recordFailure()
    fleet.apply(member({ startedAtMs: 200, versions: new Map([['m', 1]]) }))
    expect(removed).toEqual(['u1/100'])
    expect(fleet.find('u1') === previous).toEqual(false)
    expect(fleet.find('u1')?.isExcluded).toEqual(false)
    fleet.apply(member({ startedAtMs: 100, isDraining: true }))
    expect(available()).toEqual(['u1'])
  })

  it('removes an incarnation whose record expired although a late record of the previous one arrives', async () => {
    fleet.apply(member({ startedAtMs: 200 }))
    fleet.remove('u1', 1000)
    fleet.apply(member({ startedAtMs: 100 }))
    await time.advance(1100)
    expect(available()).toEqual([])
  })

  // Guards against a heartbeat that the store executes late and that takes back the draining state (review/5).
  it('ignores a late record of the same incarnation, while the upstream drains and after its removal', async () => {
    fleet.apply(member({ sequence: 4 }))
    fleet.apply(member({ sequence: 8, isDraining: true }))
    await time.advance(3000)
    fleet.apply(member({ sequence: 5 }))
    fleet.apply(member({ sequence: undefined }))
    expect(available()).toEqual([])
    fleet.remove('u1', 0)
    await time.advance(3000)
    fleet.apply(member({ sequence: 7 }))
    expect(available()).toEqual([])
    fleet.apply(member({ sequence: 9 }))
    expect(available()).toEqual(['u1'])
  })

  // Guards against a late record that keeps an upstream whose own record has expired.
  it('removes an upstream whose record expired although an older one of the same incarnation arrives', async () => {
    fleet.apply(member({ sequence: 4 }))
    fleet.remove('u1', 1000)
    fleet.apply(member({ sequence: 3 }))
    await time.advance(1100)
    expect(available()).toEqual([])
  })

  it('begins to count anew after a restart, and does not compare the records of an unknown start', () => {
    fleet.apply(member({ sequence: 400 }))
    fleet.apply(member({ startedAtMs: 200, sequence: 1 }))
    expect(fleet.find('u1')?.member.startedAtMs).toEqual(200)
    fleet.apply(member({ id: 'u2', startedAtMs: 0, sequence: 400 }))
    fleet.apply(member({ id: 'u2', startedAtMs: 0, sequence: 1, isDraining: true }))
    expect(available()).toEqual(['u1'])
  })

  // Guards against an upstream that is out of use for ever, because another writer's record or a stepped clock was ahead.
  it('uses an upstream again whose own records continue for longer than a write may be late', async () => {
    fleet.apply(member({ startedAtMs: 9_000_000, sequence: 1, isDraining: true }))
    for (let sequence = 1; sequence <= 10; sequence++) {
      fleet.apply(member({ sequence }))
      await time.advance(1200)
    }
    expect(available()).toEqual(['u1'])
  })

  it('never returns to an older weight version within one incarnation', () => {
    fleet.find('u1')?.recordVersion('m', 4)
    fleet.apply(member({ versions: new Map([['m', 3]]) }))
    expect(fleet.find('u1')?.versionOf('m')).toEqual(4)
  })

  it('excludes an upstream for longer after each consecutive failure, and no longer after a response', async () => {
    const upstream = fleet.find('u1')
    upstream?.recordFailure()
    await time.advance(160)
    expect(upstream?.isExcluded).toEqual(false)
    upstream?.recordFailure()
    await time.advance(160)
    expect(upstream?.isExcluded).toEqual(true)
    upstream?.recordResponseTime(10)
    expect(upstream?.isExcluded).toEqual(false)
  })
})
