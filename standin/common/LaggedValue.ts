interface TimedValue<T> { atMs: number, value: T }

/** Records the history of a value and returns the value that was current a given time ago. */
export class LaggedValue<T> {
  private readonly _history: Array<TimedValue<T>> = []

  constructor (private readonly _maxAgeMs: number) {}

  /** Records the value that is current from `nowMs` on. */
  set (value: T, nowMs: number): void {
    this._history.push({ atMs: nowMs, value })
    // Keeps one value older than the maximum age, because it was still current at that age.
    while (this._history.length > 1 && this._history[1]!.atMs <= nowMs - this._maxAgeMs) this._history.shift()
  }

  /** Newest value that is at least `lagMs` old, else the oldest one; undefined if there is none. */
  get (lagMs: number, nowMs: number): TimedValue<T> | undefined {
    return this._history.findLast(timedValue => timedValue.atMs <= nowMs - lagMs) ?? this._history[0]
  }
}
