import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { IContractStore } from '../contract/IContractStore.js'
import { contractStoreId } from '../contract/contractStoreId.js'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogHub } from '../log/ILogHub.js'
import { logHubId } from '../log/logHubId.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import { claimRecordSchema } from '../schema/claimRecordSchema.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { ClaimError } from './ClaimError.js'
import { ClaimFold } from './ClaimFold.js'
import type { ClaimKey } from './ClaimKey.js'
import { claimKeyName } from './claimKeyName.js'
import type { ClaimOutcome } from './ClaimOutcome.js'
import type { ClaimRequest } from './ClaimRequest.js'
import { ClaimWaiters } from './ClaimWaiters.js'
import type { IClaimService } from './IClaimService.js'
import type { StoredClaim } from './StoredClaim.js'
import { WonClaim } from './WonClaim.js'

const MS_PER_S = 1000
const KEY_WINDOWS_PER_RETENTION = 3
// Greatest age at which a claim may be acted on, as a ratio of the key window. A holder that was paused must find its
// claim too old well before any entry removes the key or the log drops the claim; windows are under a third of retention.
const MAX_AGE_RATIO = 1 / 2
// Allows several append retries, but rejects callers with long deadlines early in an outage.
const APPEND_TIMEOUT_MS = 5000
// Time since the end of the stream was last reached, after which failing reads or appends count as an outage.
const OUTAGE_THRESHOLD_MS = 2000

type ClaimResult = Result<ClaimOutcome, ClaimError>

/** Decides through the `claims` stream which request may run a call that must run at most once. */
export class ClaimService extends Disposable implements IClaimService {
  private readonly _fold: ClaimFold
  private readonly _waiters = new ClaimWaiters()
  /** Distinguishes this process from an earlier one of the same entry, whose calls may have run. */
  private readonly _processId = crypto.randomUUID()
  private _claimCount = 0
  /** Ids of claims of this process that are being appended and whose callers are still waiting. */
  private readonly _pendingIds = new Set<string>()

  constructor (
    @logHubId private readonly _hub: ILogHub,
    @contractStoreId private readonly _contracts: IContractStore,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._fold = new ClaimFold(organisation => this._windowMs(organisation), {
      onWon: (key, claim) => this._releaseIfRejected(key, claim),
      onSettled: (keyName, reason) => this._waiters.wake(keyName, reason)
    }, _logger)
    this._hub.addFold('claims', this._fold)
    this._register(toDisposable(() => this._waiters.wakeAll()))
  }

  claim (request: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError> {
    return new ResultAsync(this._claim(request).then(result => {
      this._metrics.count('claims', { result: result.isOk() ? result.value.kind : result.error.kind })
      return result
    }))
  }

  private async _claim (request: ClaimRequest): Promise<ClaimResult> {
    for (;;) {
      const reason = this._unavailableReason(request)
      if (reason !== undefined) return err(unavailable(reason))
      const existing = this._findCurrent(request)
      const result = existing === undefined ? await this._appendClaim(request) : await this._awaitResponse(request, existing)
      if (result !== undefined) return result
    }
  }

  /** Reason why no claim can be decided now; undefined if claims can be decided. */
  private _unavailableReason (request: ClaimRequest): string | undefined {
    const { isCaughtUp, isFailing, endReachedAtMs } = this._hub.status('claims')
    if (!isCaughtUp) return 'this entry has not caught up with the claims in the log yet'
    if (isFailing && performance.now() - endReachedAtMs > OUTAGE_THRESHOLD_MS) return 'the log is unavailable'
    if (!this._fold.isDecidable(this._windowMs(request.organisation))) return 'too many keys: some were evicted within their window'
    return undefined
  }

  /** The claim that holds the key; undefined if its window has passed by this entry's clock. The fold then decides whether a new claim wins. */
  private _findCurrent (request: ClaimRequest): StoredClaim | undefined {
    const existing = this._fold.find(claimKeyName(request))
    if (existing === undefined) return undefined
    return performance.now() - existing.appliedAtMs < this._windowMs(request.organisation) ? existing : undefined
  }

  /** Waits for the response to the request that holds the key; undefined if the key has to be looked up again. */
  private async _awaitResponse (request: ClaimRequest, existing: StoredClaim): Promise<ClaimResult | undefined> {
    if (existing.bodySha256 !== request.bodySha256) {
      return err({ kind: 'claim_body_differs', message: 'the Idempotency-Key was used with a different body', outcome: 'not_run' })
    }
    if (existing.response !== undefined) return ok({ kind: 'completed', response: existing.response })
    const reason = await this._waiters.wait(claimKeyName(request), request.deadlineAtMs)
    if (reason === 'completed' || reason === 'released') return undefined
    const message = 'an earlier request with this Idempotency-Key has not recorded a result'
    return err({ kind: 'claim_unknown', message, outcome: 'unknown' })
  }

  /** Appends a claim; undefined if another claim has won the key. */
  private async _appendClaim (request: ClaimRequest): Promise<ClaimResult | undefined> {
    const sentAtMs = performance.now()
    const remainingMs = request.deadlineAtMs - sentAtMs
    if (remainingMs <= 0) return err(unavailable('the deadline has passed'))
    const id = `${this._processId}:${this._claimCount++}`
    const { organisation, service, key, bodySha256 } = request
    const record = { type: 'claim', id, organisation, service, key, body_sha256: bodySha256, entry: this._settings.id, at_ms: Date.now() }
    if (!claimRecordSchema.safeParse(record).success) return err(unavailable('the Idempotency-Key, organisation or service is invalid'))
    this._pendingIds.add(id)
    const appended = await this._hub.append('claims', record, Math.min(remainingMs, APPEND_TIMEOUT_MS))
    this._pendingIds.delete(id)
    const hasWon = this._fold.find(claimKeyName(request))?.claimId === id
    if (appended.isOk() && !hasWon) return undefined
    const ticket = this._createTicket(id, request, sentAtMs)
    const isUsable = appended.isOk() && performance.now() < request.deadlineAtMs && ticket.mayStart()
    if (isUsable) return ok({ kind: 'won', ticket })
    if (hasWon) ticket.release()
    return err(unavailable(appended.isOk() ? 'the claim was decided too late' : appended.error.message))
  }

  private _createTicket (id: string, key: ClaimKey, sentAtMs: number): WonClaim {
    const keyName = claimKeyName(key)
    const isRecent = (): boolean => {
      const maxAgeMs = this._windowMs(key.organisation) * MAX_AGE_RATIO
      return performance.now() - sentAtMs < maxAgeMs && this._fold.find(keyName)?.claimId === id
    }
    return new WonClaim(id, key, isRecent, this._hub, this._logger)
  }

  /** Releases a claim that wins after its caller received `not_run`, because it would block the key. */
  private _releaseIfRejected (key: ClaimKey, claim: StoredClaim): void {
    if (!claim.claimId.startsWith(this._processId) || this._pendingIds.has(claim.claimId)) return
    this._createTicket(claim.claimId, key, 0).release()
  }

  /** Key window; the upper bound to which contracts are validated also applies while no contract is known. */
  private _windowMs (organisation: string): number {
    const maxWindowMs = this._settings.retentionMs / KEY_WINDOWS_PER_RETENTION
    const windowS = this._contracts.current(organisation)?.contract.limits.key_window_s
    return windowS === undefined ? maxWindowMs : Math.min(maxWindowMs, windowS * MS_PER_S)
  }
}

function unavailable (message: string): ClaimError {
  return { kind: 'claim_unavailable', message, outcome: 'not_run' }
}
