/** Bounds how many callers run at the same time, and how many wait for their turn. */
export class ConcurrencyLimit {
  private _running = 0
  /** Callers in order of arrival; each is called when it may run. */
  private readonly _waiting = new Set<() => void>()

  constructor (private readonly _maxRunning: number, private readonly _maxWaiting: number) {}

  /** Resolves once the caller may run, and must then release, or with the reason why it may not; the deadline is in terms of `performance.now()`. */
  async acquire (deadlineAtMs: number): Promise<'acquired' | 'queue_full' | 'deadline_passed'> {
    const waitMs = deadlineAtMs - performance.now()
    if (waitMs <= 0) return 'deadline_passed'
    if (this._running < this._maxRunning) {
      this._running += 1
      return 'acquired'
    }
    if (this._waiting.size >= this._maxWaiting) return 'queue_full'
    return await new Promise(resolve => {
      const run = (): void => {
        clearTimeout(timer)
        resolve('acquired')
      }
      const timer = setTimeout(() => {
        this._waiting.delete(run)
        resolve('deadline_passed')
      }, waitMs)
      this._waiting.add(run)
    })
  }

  /** Lets the next caller run. */
  release (): void {
    const [next] = this._waiting
    if (next === undefined) {
      this._running -= 1
      return
    }
    this._waiting.delete(next)
    next()
  }
}
