import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ServiceTimes } from '../upstream/ServiceTimes.js'
import type { Upstream } from '../upstream/Upstream.js'
import { wouldMissDeadline } from './wouldMissDeadline.js'
import type { Waiter } from './Waiter.js'

const times = new ServiceTimes()
times.record('short', 100, 0, 0)

function waiter (leftMs: number, change: { units?: number, wholeMs?: number } = {}): Waiter {
  const { units = 1, wholeMs = 1000 } = change
  return { request: { size: 'short', units, deadlineAtMs: leftMs }, enqueuedAtMs: leftMs - wholeMs } as Waiter
}

describe('isTooLate', () => {
  // Guards against an overloaded service that spends its places on calls that then miss their deadlines.
  it('holds for a call with less time left than calls take', () => {
    const upstream = { times } as unknown as Upstream
    expect([wouldMissDeadline(waiter(99), upstream, 0), wouldMissDeadline(waiter(101), upstream, 0)]).toEqual([true, false])
  })

  // Guards against an estimate that refuses everything and is then never corrected.
  it('does not hold early, for a generation, or without a measurement', () => {
    const upstream = { times } as unknown as Upstream
    expect(wouldMissDeadline(waiter(90, { wholeMs: 90 }), upstream, 0)).toEqual(false)
    expect(wouldMissDeadline(waiter(1, { units: 64 }), upstream, 0)).toEqual(false)
    expect(wouldMissDeadline(waiter(1), {} as Upstream, 0)).toEqual(false)
  })
})
