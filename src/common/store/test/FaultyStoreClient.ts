import { err, errAsync, ResultAsync, type Result } from 'neverthrow'
import type { AppendedRange } from '../AppendedRange.js'
import type { IStoreClient } from '../IStoreClient.js'
import type { StoreAppendRequest } from '../StoreAppendRequest.js'
import type { StoreError } from '../StoreError.js'
import type { StorePage } from '../StorePage.js'
import type { StoreSlice } from '../StoreSlice.js'

/** What happens to one call on its way to the store and back. */
interface CallFault {
  /** Delay until the store executes the call; it does so also after its sender has given up. */
  requestDelayMs: number
  /** Delay of the response after that. */
  responseDelayMs: number
  isResponseLost: boolean
}

const READ_TIMEOUT_MS = 1200

/** Client of one entry, whose calls are delayed, executed late and lose their responses. */
export class FaultyStoreClient implements IStoreClient {
  /** While set, no call reaches the store. */
  isCutOff = false
  /** While set, the store refuses every call of this client. */
  isRefused = false
  /** Added to the delay of every response. */
  extraResponseDelayMs = 0

  constructor (private readonly _store: IStoreClient, private readonly _nextFault: () => CallFault) {}

  append (request: StoreAppendRequest): ResultAsync<AppendedRange, StoreError> {
    return this._call(async () => await this._store.append(request), request.timeoutMs)
  }

  read (topic: string, fromOffset: number, waitMs: number): ResultAsync<StoreSlice, StoreError> {
    return this._call(async () => await this._store.read(topic, fromOffset, waitMs), waitMs + READ_TIMEOUT_MS)
  }

  newest (topic: string, afterKey?: string): ResultAsync<StorePage, StoreError> {
    return this._call(async () => await this._store.newest(topic, afterKey), READ_TIMEOUT_MS)
  }

  private _call<T> (execute: () => Promise<Result<T, StoreError>>, timeoutMs: number): ResultAsync<T, StoreError> {
    if (this.isRefused) return errAsync({ kind: 'unavailable', message: 'store refuses this client', mayTakeEffect: false })
    const isCutOff = this.isCutOff
    const { requestDelayMs, responseDelayMs, isResponseLost } = this._nextFault()
    return new ResultAsync(new Promise(resolve => {
      const timer = setTimeout(() => resolve(err({ kind: 'unavailable', message: 'time-out', mayTakeEffect: true })), timeoutMs)
      if (isCutOff) return
      after(requestDelayMs, () => {
        execute().then(result => {
          if (isResponseLost) return
          after(responseDelayMs + this.extraResponseDelayMs, () => {
            clearTimeout(timer)
            resolve(result)
          })
        }, () => undefined)
      })
    }))
  }
}

function after (delayMs: number, action: () => void): void {
  if (delayMs === 0) action()
  else setTimeout(action, delayMs)
}
