import { setTimeout as sleep } from 'node:timers/promises'
import { checkNotRun } from './checker/checkNotRun.js'
import { checkOrigin } from './checker/checkOrigin.js'
import { checkPlannedStop } from './checker/checkPlannedStop.js'
import { checkOwnResponse } from './checker/checkOwnResponse.js'
import { checkExactlyOnce } from './checker/checkExactlyOnce.js'
import { checkStaleness } from './checker/checkStaleness.js'
import type { History } from './checker/History.js'
import type { PlannedStop } from './checker/PlannedStop.js'
import type { Violation } from './checker/Violation.js'

const INTERVAL_MS = 2_000

/** Checks that are valid for a partial history. The others compare with records that are only read later. */
const CHECKS = [checkOrigin, checkStaleness, checkOwnResponse, checkNotRun, checkPlannedStop, checkExactlyOnce]

/** Checks the history periodically during the run, and reports each violation when it is first detected. */
export class LiveChecker {
  private readonly _reported = new Set<string>()
  private _isRunning = true

  constructor (
    private readonly _readHistory: () => Promise<History>,
    private readonly _onViolation: (violation: Violation) => void
  ) {}

  async run (): Promise<void> {
    while (this._isRunning) {
      await sleep(INTERVAL_MS)
      await this._readHistory().then(history => this._check(history), this._onReadError)
    }
  }

  stop (): void {
    this._isRunning = false
  }

  /** Reading fails while a trainer is paused or unreachable; the next check and the final one read it again. */
  private readonly _onReadError = (error: unknown): void => console.log(`live check skipped: ${String(error)}`)

  private _check (history: History): void {
    for (const violation of CHECKS.flatMap(check => check(history))) {
      const key = `${violation.rule} ${violation.subject}`
      if (this._reported.has(key) || isStopInProgress(violation)) continue
      this._reported.add(key)
      this._onViolation(violation)
    }
  }
}

/** True if the violation concerns a stop that is still in progress and therefore has no exit code yet. */
function isStopInProgress ({ records }: Violation): boolean {
  return records.some(item => (item as Partial<PlannedStop>).exitedAtMs === Infinity)
}
