import type { ClaimSettlement } from './ClaimSettlement.js'
import type { StoredClaim } from './StoredClaim.js'
import type { ClaimKey } from './ClaimKey.js'

/** What the claim service needs to hear from the claim fold. */
export interface ClaimFoldListener {
  /** A claim became the winner of its key. */
  onWon (key: ClaimKey, claim: StoredClaim): void
  /** The claim of a key ended. */
  onSettled (keyName: string, reason: ClaimSettlement): void
}
