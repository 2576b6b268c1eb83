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
  let gone: string[]

  beforeEach(() => {
    time = new VirtualTime()
    fleet = new FleetTable(testServices().logger)
    gone = []
    fleet.onRemoved(upstream => gone.push(`${upstream.member.id}/${upstream.member.startedAtMs}`))
    fleet.apply(member())
  })
  afterEach(() => {
    fleet.dispose()
    time.restore()
  })

  const usable = (): string[] => fleet.listAvailable('s').map(upstream => upstream.member.id)

  it('uses no upstream that drains or whose entry was removed, from that moment on', () => {
    fleet.apply(member({ id: 'u2' }))
    fleet.apply(member({ id: 'u2', isDraining: true }))
    expect(usable()).toEqual(['u1'])
    fleet.remove('u1', 0)
    expect(usable()).toEqual([])
    expect(gone).toEqual(['u1/100'])
  })

  it('keeps an upstream whose entry lapsed in an outage until the time in which it may come back has passed', async () => {
    fleet.apply(member({ id: 'u2' }))
    fleet.remove('u1', 1000)
    fleet.remove('u2', 1000)
    await time.advance(900)
    fleet.apply(member({ id: 'u2' }))
    await time.advance(200)
    expect(usable()).toEqual(['u2'])
  })

  it('takes a new start under the same id for another upstream, and ignores a late entry of the one before', () => {
    const before = fleet.find('u1')
    before?.recordFailure()
    fleet.apply(member({ startedAtMs: 200, versions: new Map([['m', 1]]) }))
    expect(gone).toEqual(['u1/100'])
    expect(fleet.find('u1') === before).toEqual(false)
    expect(fleet.find('u1')?.isExcluded).toEqual(false)
    fleet.apply(member({ startedAtMs: 100, isDraining: true }))
    expect(usable()).toEqual(['u1'])
  })

  it('never goes back to an older weight version within one life', () => {
    fleet.find('u1')?.recordVersion('m', 4)
    fleet.apply(member({ versions: new Map([['m', 3]]) }))
    expect(fleet.find('u1')?.versionOf('m')).toEqual(4)
  })

  it('avoids an upstream for longer with each failure in a row, and not at all after an answer', async () => {
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
