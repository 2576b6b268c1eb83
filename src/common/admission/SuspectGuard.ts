import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { Upstream } from '../upstream/Upstream.js'

/** Time for which a request that was reset is handled as a suspect, until polls show whether its upstream crashed. */
const RESET_SUSPECT_MS = 2_000
/**
 * Time for which it does not run again unless its upstream answers a poll. A caller whose deadline is
 * 150 ms otherwise reaches a second entry before the first one knows of the crash.
 */
const RESET_WAIT_MS = 200

interface Reset {
  upstream: Upstream
  atMs: number
}

/** Lets each service run one suspect at a time on this entry, which implies one on each upstream. */
export class SuspectGuard {
  private readonly _running = new Map<string, number>()
  private readonly _resets = new Map<string, Reset>()

  constructor (private readonly _suspects: ISuspectTable) {}

  isSuspect (fingerprint: string): boolean {
    const resetAtMs = this._resets.get(fingerprint)?.atMs ?? -Infinity
    return performance.now() - resetAtMs < RESET_SUSPECT_MS || this._suspects.isSuspect(fingerprint)
  }

  /** True when the request must wait: another suspect runs, or its own last crash is not judged yet. */
  mustWait (service: string, fingerprint: string): boolean {
    if (this._suspects.isAwaitingCrashRecords(fingerprint) || this._isResetUnresolved(fingerprint)) {
      return true
    }
    return this.isSuspect(fingerprint) && (this._running.get(service) ?? 0) > 0
  }

  /** A suspect begins to run; the result ends it. */
  startRun (service: string): () => void {
    this._running.set(service, (this._running.get(service) ?? 0) + 1)
    return () => this._running.set(service, (this._running.get(service) ?? 1) - 1)
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

  /** True until the upstream of the last reset answers a poll; a restarted one is a crash, which the suspect table knows. */
  private _isResetUnresolved (fingerprint: string): boolean {
    const reset = this._resets.get(fingerprint)
    if (reset === undefined || performance.now() - reset.atMs >= RESET_WAIT_MS) {
      return false
    }
    return (reset.upstream.loadReadAtMs ?? -Infinity) <= reset.atMs
  }
}
