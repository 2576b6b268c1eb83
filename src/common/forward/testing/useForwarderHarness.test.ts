import { afterEach, beforeEach, mock } from 'node:test'
import { ForwarderHarness } from './ForwarderHarness.js'

const START_MS = 1000

/** Creates a harness with mocked timers before each test of a suite; returns a function that gets the current one. */
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
