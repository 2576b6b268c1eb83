import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ServiceTimes } from '../upstream/ServiceTimes.js'
import type { Upstream } from '../upstream/Upstream.js'
import { wouldMissDeadline } from './wouldMissDeadline.js'
import type { Waiter } from './Waiter.js'

const times = new ServiceTimes()
times.record('short', 100, 0, 0)

function waiter (remainingMs: number, change: { units?: number, totalMs?: number } = {}): Waiter {
  const { units = 1, totalMs = 1000 } = change
  return { request: { size: 'short', units, deadlineAtMs: remainingMs }, enqueuedAtMs: remainingMs - totalMs } as Waiter
}

describe('wouldMissDeadline', () => {
  // Guards against an overloaded service that spends its slots on calls which then miss their deadlines.
  it('is true for a call whose remaining time is shorter than the service time', () => {
    const upstream = { times } as unknown as Upstream
    expect([wouldMissDeadline(waiter(99), upstream, 0), wouldMissDeadline(waiter(101), upstream, 0)]).toEqual([true, false])
  })

  // Guards against a wrong estimate that rejects every call and so is never corrected by a completed one.
  it('is false early in the wait, for a generation, and without a measurement', () => {
    const upstream = { times } as unknown as Upstream
    expect(wouldMissDeadline(waiter(90, { totalMs: 90 }), upstream, 0)).toEqual(false)
    expect(wouldMissDeadline(waiter(1, { units: 64 }), upstream, 0)).toEqual(false)
    expect(wouldMissDeadline(waiter(1), {} as Upstream, 0)).toEqual(false)
  })
})
