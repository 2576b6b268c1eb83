interface Sample<T> { atMs: number, value: T }

/** Keeps the past values of something and answers with the one in force a given time ago. */
export class LaggedValue<T> {
  private readonly _samples: Array<Sample<T>> = []

  constructor (private readonly _maxAgeMs: number) {}

  /** Records the value that holds from now on. */
  set (value: T, nowMs: number): void {
    this._samples.push({ atMs: nowMs, value })
    // Keeps one sample older than the maximum age: it is the one in force at that time.
    while (this._samples.length > 1 && this._samples[1]!.atMs <= nowMs - this._maxAgeMs) this._samples.shift()
  }

  /** Newest sample that is at least `lagMs` old, else the oldest one; undefined when there is none. */
  get (lagMs: number, nowMs: number): Sample<T> | undefined {
    return this._samples.findLast(sample => sample.atMs <= nowMs - lagMs) ?? this._samples[0]
  }
}
