import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { FakeLeadership } from '../store/test/FakeLeadership.js'
import { DutyHolder } from './DutyHolder.js'

const LEASE_MS = 3000

describe('DutyHolder', () => {
  let time: VirtualTime
  let leadership: FakeLeadership
  let events: string[]
  let holder: DutyHolder

  beforeEach(() => {
    time = new VirtualTime()
    leadership = new FakeLeadership()
    events = []
    const { logger, metrics } = testServices()
    const log = (fields: Record<string, unknown>, event: string): void => { events.push(`${event} ${String(fields.token)} ${String(fields.reason ?? '')}`.trim()) }
    holder = new DutyHolder('usage_report', leadership, LEASE_MS, { ...logger, info: log, warn: log }, metrics)
  })
  afterEach(() => {
    holder.dispose()
    time.restore()
  })

  // Guards against holders that act in the order A, B, A within the lease.
  it('allows no call until the lease time has passed since the leadership was gained, in each term', async () => {
    leadership.gain(7)
    await time.advance(LEASE_MS - 5)
    expect(holder.token()).toEqual(undefined)
    await time.advance(5)
    expect(holder.token()).toEqual(7)
    leadership.lose()
    leadership.gain(9)
    await time.advance(LEASE_MS - 5)
    expect(holder.token()).toEqual(undefined)
    await time.advance(5)
    expect(holder.token()).toEqual(9)
    expect(events).toEqual(['duty_acquired 7', 'duty_lost 7 leadership lost', 'duty_acquired 9'])
  })

  // Guards against calls of an entry that another one may have replaced, for example after a suspension.
  it('allows no call without a valid lease or after the leadership was released', async () => {
    leadership.gain(7)
    await time.advance(LEASE_MS)
    expect(holder.token()).toEqual(7)
    leadership.isValid = false
    expect(holder.token()).toEqual(undefined)
    leadership.isValid = true
    expect(holder.token()).toEqual(7)
    await leadership.release()
    expect(holder.token()).toEqual(undefined)
    expect(events).toEqual(['duty_acquired 7', 'duty_lost 7 lease expired', 'duty_acquired 7', 'duty_lost 7 leadership lost'])
  })

  // Guards against a holder that goes on after the platform has seen its successor.
  it('stops for the rest of the term after a call was fenced', async () => {
    leadership.gain(7)
    await time.advance(LEASE_MS)
    holder.token()
    holder.stopTerm(7)
    expect(holder.token()).toEqual(undefined)
    await time.advance(LEASE_MS)
    expect(holder.token()).toEqual(undefined)
    leadership.gain(8)
    await time.advance(LEASE_MS)
    expect(holder.token()).toEqual(8)
  })
})
