import { err, ok, type Result } from 'neverthrow'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import type { StoreError } from './StoreError.js'

/** Keys in their order; both ends are left out. */
interface KeyRange { afterKey?: string, untilKey?: string }

/**
 * Reads the newest record of every key after `afterKey`, to the first page that reaches `untilKey`.
 * `endOffset` is where reading must go on to miss nothing.
 */
export async function readAllNewest (client: IStoreClient, topic: string, { afterKey, untilKey }: KeyRange = {}): Promise<Result<{ records: KeyedRecord[], endOffset: number }, StoreError>> {
  const records: KeyedRecord[] = []
  let endOffset: number | undefined
  for (;;) {
    const page = await client.newest(topic, records.at(-1)?.key ?? afterKey)
    if (page.isErr()) return err(page.error)
    records.push(...page.value.records)
    // Only the end of the first page lies before all that later pages may have missed.
    endOffset ??= page.value.endOffset
    const lastKey = page.value.records.at(-1)?.key
    const isPast = untilKey !== undefined && lastKey !== undefined && lastKey >= untilKey
    if (!page.value.hasMore || lastKey === undefined || isPast) return ok({ records, endOffset })
  }
}
