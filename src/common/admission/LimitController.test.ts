import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { TrackedUpstream } from '../upstream/TrackedUpstream.js'
import { LimitController } from './LimitController.js'

describe('LimitController', () => {
  let controller: LimitController
  let upstream: TrackedUpstream
  let nowMs: number

  beforeEach(() => {
    controller = new LimitController()
    upstream = new TrackedUpstream({
      id: 'u', role: 'upstream', service: 's', address: '', failure_domain: 'f', state: 'live', incarnation: '1'
    })
    upstream.limit = 4
    nowMs = 1000
  })

  /** Completes `count` requests while `outstanding` are in flight, and returns the limit. */
  function completeRequests (count: number, durationMs: number, units: number, outstanding: number): number {
    for (let index = 0; index < count; index++) {
      nowMs += 200
      upstream.times.record('short', durationMs / units, nowMs - durationMs, nowMs)
      controller.onCompleted(upstream, 'short', outstanding, durationMs, nowMs)
    }
    return upstream.limit
  }

  it('lowers the limit when the time per unit rises, not when requests have more units', () => {
    expect(completeRequests(40, 10, 1, 1)).toEqual(4)
    expect(completeRequests(40, 1000, 100, 1)).toEqual(4)
    expect(completeRequests(40, 50, 1, 1) < 3).toEqual(true)
  })

  it('raises the limit up to the capacity while it is fully used and requests stay fast', () => {
    expect(completeRequests(1, 10, 1, 4)).toEqual(4.25)
    upstream.load = { boot_id: 'b', state: 'serving', running: 0, waiting: 0, capacity: 6, reported_at_ms: 0 }
    expect(completeRequests(100, 10, 1, 6)).toEqual(6)
  })

  it('lowers the limit once for each report of a long queue at the upstream', () => {
    upstream.load = { boot_id: 'b', state: 'serving', running: 4, waiting: 3, capacity: 4, reported_at_ms: 0 }
    upstream.loadReadAtMs = nowMs
    expect(completeRequests(5, 10, 1, 1)).toEqual(3.4)
  })

  it('lowers the limit at a timeout, at most once in a short time', () => {
    controller.onTimeout(upstream, nowMs)
    controller.onTimeout(upstream, nowMs + 10)
    expect(upstream.limit).toEqual(3.4)
  })
})
