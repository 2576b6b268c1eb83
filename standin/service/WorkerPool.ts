import { setTimeout as sleep } from 'node:timers/promises'

/** Limits concurrency: up to `capacity` requests run at once, the rest wait in arrival order. */
export class WorkerPool {
  running = 0
  private readonly _waiting: Array<() => void> = []

  constructor (readonly capacity: number) {}

  get waiting (): number {
    return this._waiting.length
  }

  async run (onStart: () => void, durationMs: () => number): Promise<void> {
    if (this.running >= this.capacity) {
      // A finishing request passes its slot to the next one, so `running` is not incremented.
      await new Promise<void>(resolve => this._waiting.push(resolve))
    } else {
      this.running++
    }
    onStart()
    await sleep(durationMs())
    const next = this._waiting.shift()
    if (next === undefined) this.running--
    else next()
  }
}
