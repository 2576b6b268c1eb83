// Bounds memory to about 50 MB at 36-character ids; reached only above 250,000 records per retention time.
const MAX_IDS_PER_GENERATION = 250_000

/**
 * Remembers record ids for at least the retention time of the log, measured by record time.
 * Ids live in two generations, so that old ones are dropped without a timestamp per id.
 */
export class SeenRecordIds {
  private _current = new Set<string>()
  private _previous = new Set<string>()
  private _startedAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _retentionMs: number) {}

  /** Adds an id; false when it is known already. */
  add (id: string, timeMs: number): boolean {
    if (this._current.has(id) || this._previous.has(id)) return false
    if (timeMs - this._startedAtMs >= this._retentionMs || this._current.size >= MAX_IDS_PER_GENERATION) {
      this._previous = this._current
      this._current = new Set()
      this._startedAtMs = timeMs
    }
    this._current.add(id)
    return true
  }
}
