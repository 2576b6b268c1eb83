import type { StoredResponse } from '../schema/StoredResponse.js'

/** Handle of a claim that this entry has won. It must be settled exactly once, by `complete`, `release` or `abandon`. */
export interface IClaimTicket {
  readonly claimId: string
  /** True while the claim is recent enough for the call to be sent; to be checked right before sending. */
  mayStart (): boolean
  /** Stores the response in the log, for repeats of the request. */
  complete (response: StoredResponse): void
  /** Frees the key; only allowed if nothing was sent to an upstream. */
  release (): void
  /** Leaves the claim in place without a result, because the call may have run. */
  abandon (): void
}
