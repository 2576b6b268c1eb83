import { mock } from 'node:test'

const START_MS = 1_000_000

/** Replaces timers, `Date` and `performance.now` by one virtual clock. */
export class VirtualTime {
  private readonly _nowMs: () => number

  constructor () {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: START_MS })
    this._nowMs = Date.now.bind(Date)
    // A mocked method would keep a record of each call, which takes gigabytes in long runs of the models.
    Object.defineProperty(performance, 'now', { value: () => this._nowMs(), configurable: true, writable: true })
  }

  /** Advances the clock in steps and lets promises settle after each. */
  async advance (durationMs: number, stepMs = 5): Promise<void> {
    await settle()
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      mock.timers.tick(Math.min(stepMs, durationMs - elapsedMs))
      await settle()
    }
  }

  /** Steps `Date` away from `performance.now`, as an operator or a time service may do. */
  stepWallClock (stepMs: number): void {
    mock.method(Date, 'now', () => this._nowMs() + stepMs)
  }

  /** Advances the clock without running promise callbacks in between, as if the process had been paused. */
  pause (durationMs: number): void {
    mock.timers.tick(durationMs)
  }

  restore (): void {
    mock.timers.reset()
    mock.reset()
    Reflect.deleteProperty(performance, 'now')
  }
}

function settle (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
