import { err, ok, type Result } from 'neverthrow'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import type { KeyRange } from './KeyRange.js'
import type { StoreError } from './StoreError.js'

/**
 * Reads the newest record of every key after `afterKey`, up to and including the first page that reaches `untilKey`.
 * Reading must continue at `endOffset` to miss no record.
 */
export async function readAllNewest (client: IStoreClient, topic: string, { afterKey, untilKey }: Partial<KeyRange> = {}): Promise<Result<{ records: KeyedRecord[], endOffset: number }, StoreError>> {
  const records: KeyedRecord[] = []
  let endOffset: number | undefined
  for (;;) {
    const page = await client.newest(topic, records.at(-1)?.key ?? afterKey)
    if (page.isErr()) return err(page.error)
    records.push(...page.value.records)
    // Later pages may lack records appended while they are read; only the first end offset precedes all of these.
    endOffset ??= page.value.endOffset
    const lastKey = page.value.records.at(-1)?.key
    const hasReachedEnd = untilKey !== undefined && lastKey !== undefined && lastKey >= untilKey
    if (!page.value.hasMore || lastKey === undefined || hasReachedEnd) return ok({ records, endOffset })
  }
}
