import type { StoredAnswer } from '../schema/StoredAnswer.js'

/** A claim that this entry has won; it must be settled exactly once. */
export interface IClaimTicket {
  readonly claimId: string
  /** True while the claim is young enough to be acted on; checked right before the call is sent. */
  mayStart (): boolean
  /** Records the answer for repeats of the request. */
  complete (answer: StoredAnswer): void
  /** Frees the key; only when nothing was sent to an upstream. */
  release (): void
  /** Leaves the claim without a result: the call may have run. */
  abandon (): void
}
