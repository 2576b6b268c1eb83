import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { UsageMeter } from './UsageMeter.js'
import { UsageSchedule } from './UsageSchedule.js'

describe('UsageMeter', () => {
  let time: VirtualTime
  let meter: UsageMeter
  const counted = (): Array<[number, Record<string, number>]> => meter.windows().map(({ window, counts }) => [window, Object.fromEntries(counts)])

  beforeEach(() => {
    time = new VirtualTime()
    meter = new UsageMeter(new UsageSchedule({ entryId: 'a', windowMs: 5000, lateMs: 10_000, leaseMs: 3000 }), testServices().logger)
  })
  afterEach(() => time.restore())

  it('counts by window and organisation', () => {
    meter.recordStart('x', 10_000)
    meter.recordStart('x', 9_999)
    meter.recordStart('y', 10_001)
    meter.recordStart('y', 14_999)
    expect(counted()).toEqual([[1, { x: 1 }], [2, { x: 1, y: 2 }]])
  })

  // Guards against counts in a wrong window, and against corrections by the delay of a message.
  it('corrects its clock by the time of the holder, but not for small differences', () => {
    meter.adoptTime(Date.now() + 200)
    expect(meter.nowUnixMs()).toEqual(Date.now())
    meter.adoptTime(Date.now() - 3_600_000)
    meter.recordStart('x', Date.now())
    expect(counted().map(([window]) => window)).toEqual([Math.floor((Date.now() - 3_600_000) / 5000)])
    meter.adoptTime(Date.now() + 100)
    expect(meter.nowUnixMs()).toEqual(Date.now())
  })

  // Guards against memory that grows while no holder confirms, or while the clock jumps.
  it('drops windows that are too old, and the first when there are too many', () => {
    meter.recordStart('x', Date.now() - 400_000)
    meter.recordStart('x', Date.now())
    meter.dropExpired()
    expect(counted().length).toEqual(1)
    for (let count = 0; count < 1000; count++) meter.recordStart('x', Date.now() + count * 5000)
    expect(counted().length).toEqual(80)
  })
})
