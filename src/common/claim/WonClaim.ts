import type { ILogHub } from '../log/ILogHub.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { StoredResponse } from '../schema/StoredResponse.js'
import type { ClaimKey } from './ClaimKey.js'
import type { IClaimTicket } from './IClaimTicket.js'

// Length of 64 KiB in Base64.
const MAX_BODY_BASE64_LENGTH = Math.ceil(65_536 / 3) * 4

/** Claim that this entry has won; settles it through the `claims` stream. */
export class WonClaim implements IClaimTicket {
  private _isSettled = false

  constructor (
    readonly claimId: string,
    private readonly _key: ClaimKey,
    private readonly _isRecent: () => boolean,
    private readonly _hub: ILogHub,
    private readonly _logger: ILogger
  ) {}

  mayStart (): boolean {
    return !this._isSettled && this._isRecent()
  }

  complete (response: StoredResponse): void {
    if (!this._settle('complete')) return
    const isTooLong = response.body_base64.length > MAX_BODY_BASE64_LENGTH
    const stored = isTooLong ? { ...response, body_base64: '', body_omitted: true } : response
    this._hub.appendEventually('claims', { type: 'result', ...this._fields(), answer: stored } as { id: string })
  }

  release (): void {
    if (!this._settle('release')) return
    this._hub.appendEventually('claims', { type: 'release', ...this._fields() } as { id: string })
  }

  abandon (): void {
    this._settle('abandon')
  }

  private _fields (): { id: string } & ClaimKey & { claim_id: string } {
    const { organisation, service, key } = this._key
    return { id: crypto.randomUUID(), organisation, service, key, claim_id: this.claimId }
  }

  private _settle (action: string): boolean {
    if (this._isSettled) {
      this._logger.error({ claim: this.claimId, action }, 'claim_settled_twice')
      return false
    }
    this._isSettled = true
    return true
  }
}
