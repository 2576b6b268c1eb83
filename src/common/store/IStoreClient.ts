import type { ResultAsync } from 'neverthrow'
import type { AppendedRange } from './AppendedRange.js'
import type { StoreAppendRequest } from './StoreAppendRequest.js'
import type { StoreError } from './StoreError.js'
import type { StorePage } from './StorePage.js'
import type { StoreSlice } from './StoreSlice.js'

/** The durable store of keyed topics; each call is one attempt. */
export interface IStoreClient {
  /** Appends all records or none. */
  append (append: StoreAppendRequest): ResultAsync<AppendedRange, StoreError>
  /** Reads from an offset on; waits up to `waitMs` for a record. */
  read (topic: string, fromOffset: number, waitMs: number): ResultAsync<StoreSlice, StoreError>
  /** Reads one page of the newest record of each key, in order of keys after `afterKey`. */
  newest (topic: string, afterKey?: string): ResultAsync<StorePage, StoreError>
}
