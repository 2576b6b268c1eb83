import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { ClockJumpDetector } from './ClockJumpDetector.js'

describe('ClockJumpDetector', () => {
  let wallMs: number
  let monotonicMs: number
  let detector: ClockJumpDetector

  beforeEach(() => {
    wallMs = 1_000_000
    monotonicMs = 500
    mock.method(Date, 'now', () => wallMs)
    mock.method(performance, 'now', () => monotonicMs)
    detector = new ClockJumpDetector()
  })
  afterEach(() => mock.restoreAll())

  function pass (durationMs: number): void {
    wallMs += durationMs
    monotonicMs += durationMs
  }

  it('detects a suspension and steps of the wall clock in either direction once', () => {
    for (const jumpMs of [5000, -5000, 400, -400]) {
      pass(50)
      wallMs += jumpMs
      expect(detector.check()).toEqual(jumpMs)
      pass(50)
      expect(detector.check()).toEqual(undefined)
    }
  })

  // Guards against a process that is suspended again and again for a short time and never notices.
  it('detects short suspensions that add up', () => {
    const jumps: Array<number | undefined> = []
    for (let count = 0; count < 4; count++) {
      pass(50)
      wallMs += 150
      jumps.push(detector.check())
    }
    expect(jumps.map(jumpMs => jumpMs !== undefined)).toEqual([false, false, true, false])
  })

  // Guards against a suspension that a smaller step back in the past hides.
  it('detects a jump after a smaller one in the other direction', () => {
    wallMs -= 300
    expect(detector.check()).toEqual(undefined)
    wallMs += 500
    expect(detector.check()).toEqual(500)
  })

  it('does not take a freeze in which both clocks run, or clocks that are slewed, for a jump', () => {
    pass(60_000)
    expect(detector.check()).toEqual(undefined)
    for (let count = 0; count < 40_000; count++) {
      pass(100)
      wallMs += 0.05
      expect(detector.check()).toEqual(undefined)
    }
  })
})
