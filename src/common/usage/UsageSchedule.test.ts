import { describe, it } from 'node:test'
import { expect } from 'earl'
import { UsageSchedule } from './UsageSchedule.js'

const LEADER_LOSS_MS = 1200
/** Time after which a pending attempt counts, see `CallStart`. */
const DECISION_MS = 2000

describe('UsageSchedule', () => {
  const schedule = new UsageSchedule({ entryId: 'a', windowMs: 5000, lateMs: 10_000, leaseMs: 3000 })

  it('numbers windows from the start of 1970', () => {
    expect([schedule.windowAt(0), schedule.windowAt(4999), schedule.windowAt(5000), schedule.endOf(1)]).toEqual([0, 0, 1, 10_000])
    expect([schedule.oldestInTimeAt(60_000), schedule.oldestAt(600_000)]).toEqual([10, 60])
  })

  // Guards against counts that are sent before pending attempts are decided, and reports that are late after a change of the holder.
  it('leaves time for pending attempts, for repetitions and for one change of the holder', () => {
    expect(schedule.pushDelayMs > DECISION_MS).toEqual(true)
    expect(schedule.commitDelayMs - schedule.pushDelayMs - schedule.maxPushJitterMs >= 2000 - 1e-6).toEqual(true)
    expect(schedule.commitDelayMs + LEADER_LOSS_MS + 3000 < schedule.lateMs).toEqual(true)
    expect(schedule.gatherMs < 3000).toEqual(true)
  })
})
