import { setTimeout as sleep } from 'node:timers/promises'

/** Runs at most `capacity` requests at once; the others wait in arrival order. */
export class WorkerPool {
  running = 0
  private readonly _waiting: Array<() => void> = []

  constructor (readonly capacity: number) {}

  get waiting (): number {
    return this._waiting.length
  }

  async run (onStart: () => void, durationMs: () => number): Promise<void> {
    if (this.running >= this.capacity) {
      // The request that finishes hands its place over, so `running` stays as it is.
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
