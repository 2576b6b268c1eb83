import { ResultAsync } from 'neverthrow'
import type { AppendedRange } from '../AppendedRange.js'
import type { IStoreClient } from '../IStoreClient.js'
import type { StoreAppendRequest } from '../StoreAppendRequest.js'
import type { StoreError } from '../StoreError.js'
import type { StorePage } from '../StorePage.js'
import type { StoreSlice } from '../StoreSlice.js'

/** Client of a store that lets a test act before each page of newest records is read. */
export class HookedStoreClient implements IStoreClient {
  /** Keys after which pages were read. */
  readonly pagesAfter: string[] = []
  beforePage: (index: number) => Promise<void> = async () => {}

  constructor (private readonly _store: IStoreClient) {}

  append (request: StoreAppendRequest): ResultAsync<AppendedRange, StoreError> {
    return this._store.append(request)
  }

  read (topic: string, fromOffset: number, waitMs: number): ResultAsync<StoreSlice, StoreError> {
    return this._store.read(topic, fromOffset, waitMs)
  }

  newest (topic: string, afterKey = ''): ResultAsync<StorePage, StoreError> {
    this.pagesAfter.push(afterKey)
    const hook = this.beforePage(this.pagesAfter.length - 1)
    return new ResultAsync(hook.then(async () => await this._store.newest(topic, afterKey)))
  }
}
