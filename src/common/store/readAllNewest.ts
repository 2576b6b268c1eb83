import type { Result } from 'neverthrow'
import type { IStoreClient } from './IStoreClient.js'
import type { KeyedRecord } from './KeyedRecord.js'
import type { KeyRange } from './KeyRange.js'
import { SnapshotReader } from './SnapshotReader.js'
import type { StoreError } from './StoreError.js'

/** Reads the newest record of every key in a range, as `SnapshotReader` does, in one go. */
export async function readAllNewest (client: IStoreClient, topic: string, range: Partial<KeyRange> = {}): Promise<Result<{ records: KeyedRecord[], endOffset: number }, StoreError>> {
  return await new SnapshotReader(client, topic, range).read()
}
