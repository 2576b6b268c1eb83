import { err, ok, type Result } from 'neverthrow'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import type { StoreError } from './StoreError.js'

/** Reads the newest record of every key. `endOffset` is where reading must go on to miss nothing. */
export async function readAllNewest (client: IStoreClient, topic: string): Promise<Result<{ records: KeyedRecord[], endOffset: number }, StoreError>> {
  const records: KeyedRecord[] = []
  let endOffset: number | undefined
  for (;;) {
    const page = await client.newest(topic, records.at(-1)?.key)
    if (page.isErr()) return err(page.error)
    records.push(...page.value.records)
    // Only the end of the first page lies before all that later pages may have missed.
    endOffset ??= page.value.endOffset
    if (!page.value.hasMore || page.value.records.length === 0) return ok({ records, endOffset })
  }
}
