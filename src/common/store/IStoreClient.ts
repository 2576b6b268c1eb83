import type { ResultAsync } from 'neverthrow'
import type { AppendedRange } from './AppendedRange.js'
import type { StoreAppendRequest } from './StoreAppendRequest.js'
import type { StoreError } from './StoreError.js'
import type { StorePage } from './StorePage.js'
import type { StoreSlice } from './StoreSlice.js'

/** Client of the durable store of keyed topics. Each call makes one attempt, without retries. */
export interface IStoreClient {
  /** Appends all records or none of them. */
  append (request: StoreAppendRequest): ResultAsync<AppendedRange, StoreError>
  /** Reads records from an offset on; waits up to `waitMs` for the first. */
  read (topic: string, fromOffset: number, waitMs: number): ResultAsync<StoreSlice, StoreError>
  /** Reads one page of the newest record of each key, sorted by key, starting after `afterKey`. */
  newest (topic: string, afterKey?: string): ResultAsync<StorePage, StoreError>
}
