import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { LatencyWindow } from './LatencyWindow.js'

describe('LatencyWindow', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1000 })
    mock.method(performance, 'now', () => Date.now())
  })

  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('discards durations that have left the window', () => {
    const latency = new LatencyWindow()
    for (let index = 0; index < 30; index++) latency.record(100)
    mock.timers.tick(16_000)
    for (let index = 0; index < 30; index++) latency.record(10)
    expect(latency.percentile(95)! > 90).toEqual(true)
    mock.timers.tick(16_000)
    for (let index = 0; index < 30; index++) latency.record(10)
    expect(latency.percentile(95)! < 11).toEqual(true)
  })
})
