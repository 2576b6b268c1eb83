/** Runs events in the order of their virtual times. */
export class VirtualEvents {
  nowMs = 0
  /** The next event is the last element. */
  private readonly _events: Array<{ atMs: number, run: () => void }> = []

  after (delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs
    const index = this._events.findLastIndex(event => event.atMs > atMs)
    this._events.splice(index + 1, 0, { atMs, run })
  }

  repeat (periodMs: number, run: () => void): void {
    run()
    this.after(periodMs, () => this.repeat(periodMs, run))
  }

  runUntil (endMs: number): void {
    while (this.nowMs < endMs) {
      const event = this._events.pop()!
      this.nowMs = event.atMs
      event.run()
    }
  }
}
