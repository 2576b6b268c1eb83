import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { IAdmission } from '../admission/IAdmission.js'
import { admissionId } from '../admission/admissionId.js'
import type { ClaimError } from '../claim/ClaimError.js'
import { claimServiceId } from '../claim/claimServiceId.js'
import type { IClaimService } from '../claim/IClaimService.js'
import type { ISuspectTable } from '../crash/ISuspectTable.js'
import { suspectTableId } from '../crash/suspectTableId.js'
import { Disposable } from '../kernel/Disposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import type { StoredResponse } from '../schema/StoredResponse.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import { upstreamClientId } from '../upstream/client/upstreamClientId.js'
import { AttemptRunner } from './AttemptRunner.js'
import type { CallError } from './CallError.js'
import type { CallRequest } from './CallRequest.js'
import { digestId } from '../digest/digestId.js'
import { fromBase64 } from './fromBase64.js'
import { RequestRatioBudget } from './RequestRatioBudget.js'
import type { IDigest } from '../digest/IDigest.js'
import type { IForwarder } from './IForwarder.js'
import type { IHedgePolicy } from './IHedgePolicy.js'
import { LatencyWindow } from './LatencyWindow.js'
import { NoHedging } from './NoHedging.js'
import { AtMostOnceCall } from './AtMostOnceCall.js'
import { RetryableCall } from './RetryableCall.js'

/** Upper bound of hedges as a ratio of the requests. */
const HEDGE_RATIO = 0.05

const CLAIM_STATUS: Record<ClaimError['kind'], number> = {
  claim_unavailable: 503,
  claim_unknown: 409,
  claim_body_differs: 422
}

/** Forwards calls to upstreams: retries and hedges lookups, and runs at-most-once calls under a claim. */
export class Forwarder extends Disposable implements IForwarder {
  private readonly _runner: AttemptRunner
  private readonly _hedgeBudget = new RequestRatioBudget(HEDGE_RATIO)
  private readonly _noHedging = new NoHedging()
  private readonly _servicesWithoutHedging: Set<string>
  /** By organisation and work class. */
  private readonly _latencyWindows = new Map<string, LatencyWindow>()
  private _atMostOnceCallsInFlight = 0

  constructor (
    @admissionId admission: IAdmission,
    @upstreamClientId client: IUpstreamClient,
    @claimServiceId private readonly _claims: IClaimService,
    @suspectTableId private readonly _suspects: ISuspectTable,
    @digestId private readonly _digest: IDigest,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics,
    @entrySettingsId settings: EntrySettings
  ) {
    super()
    this._servicesWithoutHedging = new Set(settings.services.filter(({ hedging }) => !hedging).map(({ name }) => name))
    this._runner = new AttemptRunner(admission, client, _suspects)
  }

  /** At-most-once calls in flight. They continue after their caller has disconnected, so a drain has to wait for them. */
  get atMostOnceCallsInFlight (): number {
    return this._atMostOnceCallsInFlight
  }

  forward (request: CallRequest): ResultAsync<UpstreamResponse, CallError> {
    const startedAtMs = performance.now()
    const call = request.workClass.repeat === 'never' ? this._trackAtMostOnce(request) : this._forwardRetryable(request)
    return new ResultAsync(call.then((result) => {
      this._reportResult(request, result, performance.now() - startedAtMs)
      return result
    }))
  }

  private async _forwardRetryable (request: CallRequest): Promise<Result<UpstreamResponse, CallError>> {
    const hedgePolicy: IHedgePolicy = this._servicesWithoutHedging.has(request.workClass.service) ? this._noHedging : this._hedgeBudget
    hedgePolicy.onRequest()
    const fingerprint = this._fingerprint(request)
    return await new RetryableCall(this._runner, request, fingerprint, this._latencyWindow(request), () => {
      // A suspect request may crash the upstream that runs it, so it must not reach a second one.
      const mayHedge = !this._suspects.isSuspect(fingerprint) && hedgePolicy.tryAcquire()
      if (mayHedge) {
        this._metrics.count('hedges_total', { organisation: request.organisation, class: request.workClassName })
      }
      return mayHedge
    }).run()
  }

  private async _trackAtMostOnce (request: CallRequest): Promise<Result<UpstreamResponse, CallError>> {
    this._atMostOnceCallsInFlight++
    try {
      return await this._forwardAtMostOnce(request)
    } finally {
      this._atMostOnceCallsInFlight--
    }
  }

  private async _forwardAtMostOnce (request: CallRequest): Promise<Result<UpstreamResponse, CallError>> {
    const { organisation, idempotencyKey, body, deadlineAtMs } = request
    if (idempotencyKey === undefined) {
      const message = 'this work class requires an Idempotency-Key'
      return err({ kind: 'idempotency_key_required', message, outcome: 'not_run', status: 400 })
    }
    const claimed = await this._claims.claim({
      organisation,
      service: request.workClass.service,
      key: idempotencyKey,
      bodySha256: this._digest.sha256Hex(body),
      deadlineAtMs
    })
    if (claimed.isErr()) {
      const { kind, message, outcome } = claimed.error
      return err({ kind, message, outcome, status: CLAIM_STATUS[kind] })
    }
    if (claimed.value.kind === 'completed') {
      return fromStoredResponse(claimed.value.response)
    }
    return await new AtMostOnceCall(this._runner, request, this._fingerprint(request), claimed.value.ticket).run()
  }

  private _fingerprint (request: CallRequest): string {
    return `${request.organisation}:${this._digest.sha256Hex(`${request.method} ${request.path}\n`, request.body)}`
  }

  private _latencyWindow (request: CallRequest): LatencyWindow {
    const key = `${request.organisation}/${request.workClassName}`
    let latencyWindow = this._latencyWindows.get(key)
    if (latencyWindow === undefined) {
      latencyWindow = new LatencyWindow()
      this._latencyWindows.set(key, latencyWindow)
    }
    return latencyWindow
  }

  private _reportResult (request: CallRequest, result: Result<UpstreamResponse, CallError>, durationMs: number): void {
    const { organisation, workClassName, requestId, revision } = request
    this._metrics.duration('call', durationMs, { organisation, class: workClassName })
    if (result.isErr()) {
      const { kind, outcome } = result.error
      this._metrics.count('calls_failed_total', { organisation, class: workClassName, kind, outcome })
      this._logger.info({ request: requestId, organisation, revision, class: workClassName, kind, outcome }, 'call_failed')
    }
  }
}

function fromStoredResponse (response: StoredResponse): Result<UpstreamResponse, CallError> {
  if (response.body_omitted) {
    const message = 'the call ran, but its response was too large to store or has been evicted'
    return err({ kind: 'answer_not_kept', message, outcome: 'unknown', status: 409 })
  }
  return ok({ status: response.status, headers: response.headers, body: fromBase64(response.body_base64) })
}
