import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { Upstream } from '../upstream/Upstream.js'

/** How long a request whose connection was reset counts as a suspect; polls show meanwhile whether its upstream crashed. */
const RESET_SUSPECT_MS = 2_000
/**
 * How long such a request is not run again unless its upstream responds to a poll. Without this wait, a caller
 * with a deadline of 150 ms retries at a second entry before the first one knows of the crash.
 */
const RESET_WAIT_MS = 200

/** A reset connection of a request. */
interface Reset {
  upstream: Upstream
  atMs: number
}

/** Limits each service to one running suspect on this entry, hence at most one on each upstream. */
export class SuspectGuard {
  /** Number of running suspects by service. */
  private readonly _runningSuspects = new Map<string, number>()
  /** Last reset of each request, by fingerprint. */
  private readonly _resets = new Map<string, Reset>()

  constructor (private readonly _suspects: ISuspectTable) {}

  isSuspect (fingerprint: string): boolean {
    const resetAtMs = this._resets.get(fingerprint)?.atMs ?? -Infinity
    return performance.now() - resetAtMs < RESET_SUSPECT_MS || this._suspects.isSuspect(fingerprint)
  }

  /** True when the request must wait: another suspect is running, or not all is known yet about the crash or reset of its own last run. */
  mustWait (service: string, fingerprint: string): boolean {
    if (this._suspects.isAwaitingCrashRecords(fingerprint) || this._isResetUnresolved(fingerprint)) {
      return true
    }
    return this.isSuspect(fingerprint) && (this._runningSuspects.get(service) ?? 0) > 0
  }

  /** Counts a suspect as running until the returned function is called. */
  startRun (service: string): () => void {
    this._runningSuspects.set(service, (this._runningSuspects.get(service) ?? 0) + 1)
    return () => this._runningSuspects.set(service, (this._runningSuspects.get(service) ?? 1) - 1)
  }

  onReset (fingerprint: string, upstream: Upstream): void {
    const nowMs = performance.now()
    for (const [key, { atMs }] of this._resets) {
      if (nowMs - atMs >= RESET_SUSPECT_MS) this._resets.delete(key)
    }
    this._resets.set(fingerprint, { upstream, atMs: nowMs })
  }

  onCompleted (fingerprint: string): void {
    this._resets.delete(fingerprint)
    this._suspects.recordCompletion(fingerprint)
  }

  /** True until the upstream of the last reset responds to a poll; if it has restarted, the suspect table has recorded a crash. */
  private _isResetUnresolved (fingerprint: string): boolean {
    const reset = this._resets.get(fingerprint)
    if (reset === undefined || performance.now() - reset.atMs >= RESET_WAIT_MS) {
      return false
    }
    return (reset.upstream.loadReadAtMs ?? -Infinity) <= reset.atMs
  }
}
