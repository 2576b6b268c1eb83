import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { SlotResult } from './SlotResult.js'

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

  /**
   * True when the request must wait: another suspect is running, a peer may be running the request, or not all is known
   * yet about the crash or reset of its own last run.
   */
  mustWait (service: string, fingerprint: string): boolean {
    if (this._suspects.isAwaitingCrashRecords(fingerprint) || this._isResetUnresolved(fingerprint)) {
      return true
    }
    const isBlocked = (this._runningSuspects.get(service) ?? 0) > 0 || this._suspects.isRunningAtPeer(fingerprint)
    return isBlocked && this.isSuspect(fingerprint)
  }

  /** Counts a suspect as running until the returned function is called with the result of its run. */
  startRun (service: string, fingerprint: string): (result: SlotResult) => void {
    this._runningSuspects.set(service, (this._runningSuspects.get(service) ?? 0) + 1)
    const end = this._suspects.startRun(fingerprint)
    return (result) => {
      this._runningSuspects.set(service, (this._runningSuspects.get(service) ?? 1) - 1)
      end(!mayStillRun(result))
    }
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

/** Whether the upstream may still be running the request, or has just crashed with it. */
function mayStillRun (result: SlotResult): boolean {
  return result.kind === 'timeout' || result.kind === 'abandoned' || (result.kind === 'failed' && result.sent)
}
