import type { CacheEvent } from './CacheEvent.js'

const MAX_RETAINED_EVENTS = 10_000

/** Buffers cache events, which become visible after a lag. Every n-th event is lost and leaves a gap in `seq`. */
export class CacheEventBuffer {
  private readonly _events: Array<CacheEvent & { atMs: number }> = []
  private _nextSeq = 0

  constructor (private readonly _lagMs: number, private readonly _loseEvery: number) {}

  add (kind: CacheEvent['kind'], prefixHash: string): void {
    const seq = this._nextSeq
    this._nextSeq++
    if (this._loseEvery > 0 && this._nextSeq % this._loseEvery === 0) return
    this._events.push({ seq, kind, prefix_hash: prefixHash, atMs: Date.now() })
    if (this._events.length > 2 * MAX_RETAINED_EVENTS) this._events.splice(0, MAX_RETAINED_EVENTS)
  }

  read (from: number): { events: CacheEvent[], next: number } {
    const visibleUntilMs = Date.now() - this._lagMs
    const visible = this._events.filter(event => event.seq >= from && event.atMs <= visibleUntilMs)
    const events = visible.map(({ atMs: _atMs, ...event }) => event)
    return { events, next: (events.at(-1)?.seq ?? from - 1) + 1 }
  }
}
