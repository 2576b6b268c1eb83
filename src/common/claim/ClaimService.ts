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
// A holder that was paused must find its claim too old well before any entry forgets the key or the
// log drops the claim; windows are under a third of retention.
const MAX_AGE_OF_WINDOW = 1 / 2
// Several append retries, and an early refusal for callers with long deadlines in an outage.
const CLAIM_TIMEOUT_MS = 5000
const OUTAGE_MS = 2000

type Outcome = Result<ClaimOutcome, ClaimError>

/** Decides through the `claims` stream which request may run a call that must not be repeated. */
export class ClaimService extends Disposable implements IClaimService {
  private readonly _fold: ClaimFold
  private readonly _waiters = new ClaimWaiters()
  /** Distinguishes this process from an earlier one of the same entry, whose claims may have run. */
  private readonly _processId = crypto.randomUUID()
  private _claimCount = 0
  /** Claims of this process whose callers still wait for them. */
  private readonly _awaited = new Set<string>()

  constructor (
    @logHubId private readonly _hub: ILogHub,
    @contractStoreId private readonly _contracts: IContractStore,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._fold = new ClaimFold(organisation => this._windowMs(organisation), {
      onWon: (key, claim) => this._releaseIfGivenUp(key, claim),
      onSettled: (keyName, reason) => this._waiters.wake(keyName, reason)
    }, _logger)
    this._hub.addFold('claims', this._fold)
    this._register(toDisposable(() => this._waiters.wakeAll()))
  }

  claim (request: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError> {
    return new ResultAsync(this._claim(request).then(outcome => {
      this._metrics.count('claims', { result: outcome.isOk() ? outcome.value.kind : outcome.error.kind })
      return outcome
    }))
  }

  private async _claim (request: ClaimRequest): Promise<Outcome> {
    for (;;) {
      const refusal = this._refusal(request)
      if (refusal !== undefined) return err(unavailable(refusal))
      const held = this._find(request)
      const outcome = held === undefined ? await this._append(request) : await this._follow(request, held)
      if (outcome !== undefined) return outcome
    }
  }

  /** Reason why nothing can be decided now. */
  private _refusal (request: ClaimRequest): string | undefined {
    const { isCaughtUp, isFailing, endReachedAtMs: lastAtEndMs } = this._hub.status('claims')
    if (!isCaughtUp) return 'this entry has not read the claims to their end yet'
    if (isFailing && performance.now() - lastAtEndMs > OUTAGE_MS) return 'the log is unavailable'
    if (!this._fold.isDecidable(this._windowMs(request.organisation))) return 'too many keys are remembered'
    return undefined
  }

  /** The claim that holds the key; one whose window has passed here is left to the fold to decide. */
  private _find (request: ClaimRequest): StoredClaim | undefined {
    const held = this._fold.find(claimKeyName(request))
    if (held === undefined) return undefined
    return performance.now() - held.appliedAtMs < this._windowMs(request.organisation) ? held : undefined
  }

  /** Answers from a claim that another request holds; undefined when the key has become free. */
  private async _follow (request: ClaimRequest, held: StoredClaim): Promise<Outcome | undefined> {
    if (held.bodySha256 !== request.bodySha256) {
      return err({ kind: 'claim_body_differs', message: 'the key was used with another body', outcome: 'not_run' })
    }
    if (held.answer !== undefined) return ok({ kind: 'answered', answer: held.answer })
    const reason = await this._waiters.wait(claimKeyName(request), request.deadlineAtMs)
    if (reason === 'answered' || reason === 'released') return undefined
    const message = 'an earlier request with this key has not recorded a result'
    return err({ kind: 'claim_unknown', message, outcome: 'unknown' })
  }

  /** Appends a claim; undefined when it lost and the winner has to be followed. */
  private async _append (request: ClaimRequest): Promise<Outcome | undefined> {
    const sentAtMs = performance.now()
    const remainingMs = request.deadlineAtMs - sentAtMs
    if (remainingMs <= 0) return err(unavailable('the deadline has passed'))
    const id = `${this._processId}:${this._claimCount++}`
    const { organisation, service, key, bodySha256 } = request
    const record = { type: 'claim', id, organisation, service, key, body_sha256: bodySha256, entry: this._settings.id, at_ms: Date.now() }
    if (!claimRecordSchema.safeParse(record).success) return err(unavailable('the key, organisation or service is not valid'))
    this._awaited.add(id)
    const appended = await this._hub.append('claims', record, Math.min(remainingMs, CLAIM_TIMEOUT_MS))
    this._awaited.delete(id)
    const hasWon = this._fold.find(claimKeyName(request))?.claimId === id
    if (appended.isOk() && !hasWon) return undefined
    const ticket = this._ticket(id, request, sentAtMs)
    const isUsable = appended.isOk() && performance.now() < request.deadlineAtMs && ticket.mayStart()
    if (isUsable) return ok({ kind: 'won', ticket })
    if (hasWon) ticket.release()
    return err(unavailable(appended.isOk() ? 'the claim was decided too late' : appended.error.message))
  }

  private _ticket (id: string, key: ClaimKey, sentAtMs: number): WonClaim {
    const keyName = claimKeyName(key)
    const isYoung = (): boolean => {
      const maxAgeMs = this._windowMs(key.organisation) * MAX_AGE_OF_WINDOW
      return performance.now() - sentAtMs < maxAgeMs && this._fold.find(keyName)?.claimId === id
    }
    return new WonClaim(id, key, isYoung, this._hub, this._logger)
  }

  /** A claim that appears after its caller was told `not_run` must not hold the key. */
  private _releaseIfGivenUp (key: ClaimKey, claim: StoredClaim): void {
    if (!claim.claimId.startsWith(this._processId) || this._awaited.has(claim.claimId)) return
    this._ticket(claim.claimId, key, 0).release()
  }

  /** Contracts are checked to have a window below the bound, which also applies while none is known. */
  private _windowMs (organisation: string): number {
    const boundMs = this._settings.retentionMs / KEY_WINDOWS_PER_RETENTION
    const windowS = this._contracts.current(organisation)?.contract.limits.key_window_s
    return windowS === undefined ? boundMs : Math.min(boundMs, windowS * MS_PER_S)
  }
}

function unavailable (message: string): ClaimError {
  return { kind: 'claim_unavailable', message, outcome: 'not_run' }
}
