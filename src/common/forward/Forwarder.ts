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
import type { StoredAnswer } from '../schema/StoredAnswer.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import { upstreamClientId } from '../upstream/client/upstreamClientId.js'
import { AttemptRunner } from './AttemptRunner.js'
import type { CallError } from './CallError.js'
import type { CallRequest } from './CallRequest.js'
import { digestId } from './digestId.js'
import { fromBase64 } from './fromBase64.js'
import { RequestRatioBudget } from './RequestRatioBudget.js'
import type { IDigest } from './IDigest.js'
import type { IForwarder } from './IForwarder.js'
import type { IHedgePolicy } from './IHedgePolicy.js'
import { LatencyWindow } from './LatencyWindow.js'
import { NoHedging } from './NoHedging.js'
import { AtMostOnceCall } from './AtMostOnceCall.js'
import { RetryableCall } from './RetryableCall.js'

/** Part of the requests that may be hedged. */
const HEDGE_PART = 0.05

const CLAIM_STATUS: Record<ClaimError['kind'], number> = {
  claim_unavailable: 503,
  claim_unknown: 409,
  claim_body_differs: 422
}

/** IForwarder over admission, claims and the upstream client. */
export class Forwarder extends Disposable implements IForwarder {
  private readonly _runner: AttemptRunner
  private readonly _budget = new RequestRatioBudget(HEDGE_PART)
  private readonly _noHedging = new NoHedging()
  private readonly _unhedged: Set<string>
  /** By organisation and work class. */
  private readonly _latencies = new Map<string, LatencyWindow>()
  private _callsOnce = 0

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
    this._unhedged = new Set(settings.services.filter(({ hedging }) => !hedging).map(({ name }) => name))
    this._runner = new AttemptRunner(admission, client, _suspects)
  }

  /** Never-repeat calls in progress. They go on when their caller has left, so a planned stop has to wait for them. */
  get atMostOnceCallsInFlight (): number {
    return this._callsOnce
  }

  forward (request: CallRequest): ResultAsync<UpstreamResponse, CallError> {
    const startedAtMs = performance.now()
    const call = request.workClass.repeat === 'never' ? this._countOnce(request) : this._forwardRepeatable(request)
    return new ResultAsync(call.then((result) => {
      this._report(request, result, performance.now() - startedAtMs)
      return result
    }))
  }

  private async _forwardRepeatable (request: CallRequest): Promise<Result<UpstreamResponse, CallError>> {
    const hedging: IHedgePolicy = this._unhedged.has(request.workClass.service) ? this._noHedging : this._budget
    hedging.onRequest()
    const fingerprint = this._fingerprint(request)
    return await new RetryableCall(this._runner, request, fingerprint, this._latency(request), () => {
      // A suspect must not be put on a second upstream.
      const mayHedge = !this._suspects.isSuspect(fingerprint) && hedging.tryAcquire()
      if (mayHedge) {
        this._metrics.count('hedges_total', { organisation: request.organisation, class: request.workClassName })
      }
      return mayHedge
    }).run()
  }

  private async _countOnce (request: CallRequest): Promise<Result<UpstreamResponse, CallError>> {
    this._callsOnce++
    try {
      return await this._forwardOnce(request)
    } finally {
      this._callsOnce--
    }
  }

  private async _forwardOnce (request: CallRequest): Promise<Result<UpstreamResponse, CallError>> {
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
    if (claimed.value.kind === 'answered') {
      return fromStoredAnswer(claimed.value.answer)
    }
    return await new AtMostOnceCall(this._runner, request, this._fingerprint(request), claimed.value.ticket).run()
  }

  private _fingerprint (request: CallRequest): string {
    return `${request.organisation}:${this._digest.sha256Hex(`${request.method} ${request.path}\n`, request.body)}`
  }

  private _latency (request: CallRequest): LatencyWindow {
    const key = `${request.organisation}/${request.workClassName}`
    let latency = this._latencies.get(key)
    if (latency === undefined) {
      latency = new LatencyWindow()
      this._latencies.set(key, latency)
    }
    return latency
  }

  private _report (request: CallRequest, result: Result<UpstreamResponse, CallError>, durationMs: number): void {
    const { organisation, workClassName, requestId, revision } = request
    this._metrics.duration('call', durationMs, { organisation, class: workClassName })
    if (result.isErr()) {
      const { kind, outcome } = result.error
      this._metrics.count('calls_failed_total', { organisation, class: workClassName, kind, outcome })
      this._logger.info({ request: requestId, organisation, revision, class: workClassName, kind, outcome }, 'call_failed')
    }
  }
}

function fromStoredAnswer (answer: StoredAnswer): Result<UpstreamResponse, CallError> {
  if (answer.body_omitted) {
    const message = 'the call ran, but its answer was too large to keep'
    return err({ kind: 'answer_not_kept', message, outcome: 'unknown', status: 409 })
  }
  return ok({ status: answer.status, headers: answer.headers, body: fromBase64(answer.body_base64) })
}
