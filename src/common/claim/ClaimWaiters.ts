import type { ClaimSettlement } from './ClaimSettlement.js'

type Wake = (reason: ClaimSettlement | 'timeout') => void

/** Requests that wait for the claim of another request to end, by key name. */
export class ClaimWaiters {
  private readonly _waiters = new Map<string, Set<Wake>>()

  /** Resolves when the claim of the key ends, or with `timeout` at `deadlineAtMs`, a `performance.now()`. */
  wait (keyName: string, deadlineAtMs: number): Promise<ClaimSettlement | 'timeout'> {
    return new Promise(resolve => {
      const waiters = this._waiters.get(keyName) ?? new Set()
      this._waiters.set(keyName, waiters)
      const wake: Wake = reason => {
        clearTimeout(timer)
        waiters.delete(wake)
        if (waiters.size === 0 && this._waiters.get(keyName) === waiters) this._waiters.delete(keyName)
        resolve(reason)
      }
      const timer = setTimeout(() => wake('timeout'), Math.max(0, deadlineAtMs - performance.now()))
      waiters.add(wake)
    })
  }

  /** Resolves all waits for a key. */
  wake (keyName: string, reason: ClaimSettlement): void {
    for (const wake of [...this._waiters.get(keyName) ?? []]) wake(reason)
  }

  /** Resolves all waits with `timeout`. */
  wakeAll (): void {
    for (const waiters of [...this._waiters.values()]) {
      for (const wake of [...waiters]) wake('timeout')
    }
  }
}
