import { describe, it } from 'node:test'
import { expect } from 'earl'
import { UsageTimes } from './UsageTimes.js'

const LEADER_LOSS_MS = 1200
/** Time after which a pending attempt counts, see `CallStart`. */
const DECISION_MS = 2000

describe('UsageTimes', () => {
  const times = new UsageTimes({ entryId: 'a', windowMs: 5000, lateMs: 10_000, leaseMs: 3000 })

  it('numbers windows from the start of 1970', () => {
    expect([times.windowAt(0), times.windowAt(4999), times.windowAt(5000), times.endOf(1)]).toEqual([0, 0, 1, 10_000])
    expect([times.oldestInTimeAt(60_000), times.oldestAt(600_000)]).toEqual([10, 60])
  })

  // Guards against counts that are sent before pending attempts are decided, and reports that are late after a change of the holder.
  it('leaves time for pending attempts, for repetitions and for one change of the holder', () => {
    expect(times.pushDelayMs > DECISION_MS).toEqual(true)
    expect(times.commitDelayMs - times.pushDelayMs - times.maxPushJitterMs >= 2000 - 1e-6).toEqual(true)
    expect(times.commitDelayMs + LEADER_LOSS_MS + 3000 < times.lateMs).toEqual(true)
    expect(times.gatherMs < 3000).toEqual(true)
  })
})
