import type { ClaimSettlement } from './ClaimSettlement.js'
import type { StoredClaim } from './StoredClaim.js'
import type { ClaimKey } from './ClaimKey.js'

/** Receives changes of the state that the claim fold computes. */
export interface ClaimFoldListener {
  /** Called when a claim has won its key. */
  onWon (key: ClaimKey, claim: StoredClaim): void
  /** Called when the claim of a key has ended. */
  onSettled (keyName: string, reason: ClaimSettlement): void
}
