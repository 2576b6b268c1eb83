import type { ISuspectTable } from '../crash/ISuspectTable.js'

/** Time for which a request that was reset is handled as a suspect, until polls show whether its upstream crashed. */
const RESET_HOLD_MS = 2_000

/** Lets each service run one suspect at a time on this entry, which implies one on each upstream. */
export class SuspectGuard {
  private readonly _running = new Map<string, number>()
  private readonly _resetAtMs = new Map<string, number>()

  constructor (private readonly _suspects: ISuspectTable) {}

  isSuspect (fingerprint: string): boolean {
    const resetAtMs = this._resetAtMs.get(fingerprint) ?? -Infinity
    return performance.now() - resetAtMs < RESET_HOLD_MS || this._suspects.isSuspect(fingerprint)
  }

  /** True when the request must wait: another suspect runs, or its own last crash is not judged yet. */
  mustWait (service: string, fingerprint: string): boolean {
    if (this._suspects.isSettling(fingerprint)) {
      return true
    }
    return this.isSuspect(fingerprint) && (this._running.get(service) ?? 0) > 0
  }

  /** A suspect begins to run; the result ends it. */
  begin (service: string): () => void {
    this._running.set(service, (this._running.get(service) ?? 0) + 1)
    return () => this._running.set(service, (this._running.get(service) ?? 1) - 1)
  }

  onReset (fingerprint: string): void {
    const nowMs = performance.now()
    for (const [key, atMs] of this._resetAtMs) {
      if (nowMs - atMs >= RESET_HOLD_MS) this._resetAtMs.delete(key)
    }
    this._resetAtMs.set(fingerprint, nowMs)
  }

  onCompleted (fingerprint: string): void {
    this._resetAtMs.delete(fingerprint)
    this._suspects.recordCompletion(fingerprint)
  }
}
