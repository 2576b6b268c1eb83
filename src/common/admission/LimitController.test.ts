import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { TrackedUpstream } from '../upstream/TrackedUpstream.js'
import { LimitController } from './LimitController.js'

describe('LimitController', () => {
  let limits: LimitController
  let record: TrackedUpstream
  let nowMs: number

  beforeEach(() => {
    limits = new LimitController()
    record = new TrackedUpstream({
      id: 'u', role: 'upstream', service: 's', address: '', failure_domain: 'f', state: 'live', incarnation: '1'
    })
    record.limit = 4
    nowMs = 1000
  })

  /** Completes requests while this many are in flight, and returns the limit. */
  function run (count: number, durationMs: number, units: number, outstanding: number): number {
    for (let index = 0; index < count; index++) {
      nowMs += 200
      record.times.record('short', durationMs / units, nowMs - durationMs, nowMs)
      limits.onCompleted(record, 'short', outstanding, durationMs, nowMs)
    }
    return record.limit
  }

  it('lowers the limit when the time per unit rises, not when requests have more units', () => {
    expect(run(40, 10, 1, 1)).toEqual(4)
    expect(run(40, 1000, 100, 1)).toEqual(4)
    expect(run(40, 50, 1, 1) < 3).toEqual(true)
  })

  it('raises the limit up to the capacity while it is used up and requests stay fast', () => {
    expect(run(1, 10, 1, 4)).toEqual(4.25)
    record.load = { boot_id: 'b', state: 'serving', running: 0, waiting: 0, capacity: 6, reported_at_ms: 0 }
    expect(run(100, 10, 1, 6)).toEqual(6)
  })

  it('lowers the limit once for each report of a long queue at the upstream', () => {
    record.load = { boot_id: 'b', state: 'serving', running: 4, waiting: 3, capacity: 4, reported_at_ms: 0 }
    record.loadReadAtMs = nowMs
    expect(run(5, 10, 1, 1)).toEqual(3.4)
  })

  it('lowers the limit at a timeout, at most once in a short time', () => {
    limits.onTimeout(record, nowMs)
    limits.onTimeout(record, nowMs + 10)
    expect(record.limit).toEqual(3.4)
  })
})
