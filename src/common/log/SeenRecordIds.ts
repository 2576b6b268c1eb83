// Limits memory to about 50 MB at 36-character ids. Reached only with more than 250,000 records per retention time.
const MAX_IDS_PER_GENERATION = 250_000

/**
 * Keeps record ids for at least the retention time of the log, to detect duplicates. Age is measured by record time.
 * Ids are kept in two generations, so that old ones can be evicted without a timestamp per id.
 */
export class SeenRecordIds {
  private _currentIds = new Set<string>()
  private _previousIds = new Set<string>()
  private _generationStartMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _retentionMs: number) {}

  /** Adds an id; returns false if it was added before. */
  add (id: string, timeMs: number): boolean {
    if (this._currentIds.has(id) || this._previousIds.has(id)) return false
    if (timeMs - this._generationStartMs >= this._retentionMs || this._currentIds.size >= MAX_IDS_PER_GENERATION) {
      this._previousIds = this._currentIds
      this._currentIds = new Set()
      this._generationStartMs = timeMs
    }
    this._currentIds.add(id)
    return true
  }
}
