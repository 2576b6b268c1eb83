import { err, ok, type Result } from 'neverthrow'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyRange } from './KeyRange.js'
import type { KeyedRecord } from './KeyedRecord.js'
import type { StoreError } from './StoreError.js'

/**
 * Reads the newest record of every key after `afterKey`, up to and including the first page that reaches `untilKey`.
 * Reading must continue at `endOffset` to miss no record. After an error, `read` continues with the page that failed, so
 * the records of one reader belong together only if nothing is written between its calls.
 */
export class SnapshotReader {
  private readonly _records: KeyedRecord[] = []
  private _endOffset?: number

  constructor (private readonly _client: IStoreClient, private readonly _topic: string, private readonly _range: Partial<KeyRange> = {}) {}

  async read (): Promise<Result<{ records: KeyedRecord[], endOffset: number }, StoreError>> {
    const { afterKey, untilKey } = this._range
    for (;;) {
      const page = await this._client.newest(this._topic, this._records.at(-1)?.key ?? afterKey)
      if (page.isErr()) return err(page.error)
      this._records.push(...page.value.records)
      // Later pages may lack records appended while they are read; only the first end offset precedes all of these.
      this._endOffset ??= page.value.endOffset
      const lastKey = page.value.records.at(-1)?.key
      const hasReachedEnd = untilKey !== undefined && lastKey !== undefined && lastKey >= untilKey
      if (!page.value.hasMore || lastKey === undefined || hasReachedEnd) return ok({ records: this._records, endOffset: this._endOffset })
    }
  }
}
