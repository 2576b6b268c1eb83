import { err, ok, type Result } from 'neverthrow'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyRange } from './KeyRange.js'
import type { StoreError } from './StoreError.js'

/** Reads the newest records of a key range page by page, as far as they are needed. Pages may reflect different moments. */
export class RangeScan {
  readonly values = new Map<string, Uint8Array>()
  readonly offsets = new Map<string, number>()
  private _lastKey: string
  private _isDone = false

  constructor (private readonly _client: IStoreClient, private readonly _topic: string, private readonly _range: KeyRange) {
    this._lastKey = _range.afterKey
  }

  /** Whether the whole range has been read. */
  get isDone (): boolean {
    return this._isDone
  }

  /** Whether the records of the range up to and including this key have been read. */
  hasRead (key: string): boolean {
    return this._isDone || this._lastKey >= key
  }

  /** Reads the next page; resolves with the number of its records, including those after the range. */
  async readPage (): Promise<Result<number, StoreError>> {
    const page = await this._client.newest(this._topic, this._lastKey)
    if (page.isErr()) return err(page.error)
    const { records, hasMore } = page.value
    for (const { key, value, offset } of records) {
      if (value === undefined || key >= this._range.untilKey) continue
      this.values.set(key, value)
      this.offsets.set(key, offset)
    }
    this._lastKey = records.at(-1)?.key ?? this._lastKey
    this._isDone = !hasMore || records.length === 0 || this._lastKey >= this._range.untilKey
    return ok(records.length)
  }

  /** Releases the records before a key. */
  discardBefore (key: string): void {
    for (const known of this.values.keys()) {
      if (known >= key) continue
      this.values.delete(known)
      this.offsets.delete(known)
    }
  }
}
