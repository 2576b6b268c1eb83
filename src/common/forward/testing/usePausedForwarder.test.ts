import { afterEach, beforeEach, mock } from 'node:test'
import { ForwarderHarness } from './ForwarderHarness.js'

const START_MS = 1000

/** Gives each test of a suite a forwarder on a paused clock; returns the one of the running test. */
export function useForwarderHarness (): () => ForwarderHarness {
  let harness: ForwarderHarness
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: START_MS })
    mock.method(performance, 'now', () => Date.now())
    harness = new ForwarderHarness((ms) => mock.timers.tick(ms))
  })
  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })
  return () => harness
}
