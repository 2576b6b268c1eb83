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

/** Rules that hold for any part of a history; the others compare with what is read later. */
const RULES = [checkOrigin, checkStaleness, checkOwnResponse, checkNotRun, checkPlannedStop, checkExactlyOnce]

/** Checks the history while the run goes on, and reports each violation when it is first seen. */
export class LiveCheck {
  private readonly _seen = new Set<string>()
  private _isOn = true

  constructor (
    private readonly _read: () => Promise<History>,
    private readonly _report: (violation: Violation) => void
  ) {}

  async run (): Promise<void> {
    while (this._isOn) {
      await sleep(INTERVAL_MS)
      await this._read().then(history => this._check(history), this._onUnread)
    }
  }

  stop (): void {
    this._isOn = false
  }

  /** A trainer that is paused or lost cannot be read now; the next round and the end read it again. */
  private readonly _onUnread = (error: unknown): void => console.log(`live check left out: ${String(error)}`)

  private _check (history: History): void {
    for (const violation of RULES.flatMap(rule => rule(history))) {
      const key = `${violation.rule} ${violation.subject}`
      if (this._seen.has(key) || isOpen(violation)) continue
      this._seen.add(key)
      this._report(violation)
    }
  }
}

/** A stop that goes on has no exit code yet. */
function isOpen ({ records }: Violation): boolean {
  return records.some(item => (item as Partial<PlannedStop>).exitedAtMs === Infinity)
}
