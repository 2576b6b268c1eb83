import { err, ok, type Result } from 'neverthrow'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { AttemptRunner } from './AttemptRunner.js'
import type { CallError } from './CallError.js'
import type { CallRequest } from './CallRequest.js'
import type { LatencyWindow } from './LatencyWindow.js'
import { toCallError } from './toCallError.js'

/** Attempts of one call, including the hedge. */
const MAX_ATTEMPTS = 4
const HEDGE_PERCENTILE = 95

type CallResult = Result<UpstreamResponse, CallError>

/** A call that may run more than once: retried on other upstreams and hedged; the first complete response wins. */
export class RetryableCall {
  /** Abort controller of each attempt in flight. */
  private readonly _inFlight = new Set<AbortController>()
  private readonly _failedUpstreams = new Set<string>()
  private _attemptCount = 0
  private _wasSent = false
  private _hedgeTimer?: ReturnType<typeof setTimeout>
  private _resolve: (result: CallResult) => void = () => undefined
  private readonly _onAbort = (): void => this._abortAll()

  /** `_mayHedge` is called when a hedge is due; if it returns true, the hedge has been counted. */
  constructor (
    private readonly _runner: AttemptRunner,
    private readonly _request: CallRequest,
    private readonly _fingerprint: string,
    private readonly _latencyWindow: LatencyWindow,
    private readonly _mayHedge: () => boolean
  ) {}

  async run (): Promise<CallResult> {
    this._request.signal.addEventListener('abort', this._onAbort)
    const result = await new Promise<CallResult>((resolve) => {
      this._resolve = resolve
      this._startAttempt(this._failedUpstreams, (upstreamId) => this._scheduleHedge(upstreamId))
    })
    this._request.signal.removeEventListener('abort', this._onAbort)
    clearTimeout(this._hedgeTimer)
    this._abortAll()
    return result
  }

  private _startAttempt (excluded: ReadonlySet<string>, onDispatched?: (upstreamId: string) => void): void {
    this._attemptCount++
    const controller = new AbortController()
    if (this._request.signal.aborted) {
      controller.abort()
    }
    this._inFlight.add(controller)
    let startedAtMs: number | undefined
    const { requestId } = this._request
    this._runner.run(this._request, {
      requestId: this._attemptCount === 1 ? requestId : `${requestId}.${this._attemptCount}`,
      excluded: new Set(excluded),
      fingerprint: this._fingerprint,
      queueSignal: controller.signal,
      callSignal: controller.signal,
      onDispatched: (upstreamId) => {
        startedAtMs = performance.now()
        onDispatched?.(upstreamId)
      }
    }).then((result) => {
      if (startedAtMs !== undefined) {
        this._recordLatency(result, performance.now() - startedAtMs)
      }
      this._inFlight.delete(controller)
      this._onResult(result)
    }, (error: unknown) => {
      this._inFlight.delete(controller)
      this._resolve(err({ kind: 'internal', message: String(error), outcome: 'unknown', status: 500 }))
    })
  }

  /** Attempts that were aborted late count too; otherwise hedging would lower the percentile. */
  private _recordLatency (result: Result<UpstreamResponse, AttemptFailure>, durationMs: number): void {
    const kind = result.isErr() && result.error.stage === 'upstream' ? result.error.error.kind : undefined
    const wasAborted = kind === 'cancelled' || kind === 'timeout'
    if (result.isOk() || (wasAborted && durationMs > (this._latencyWindow.percentile(HEDGE_PERCENTILE) ?? Infinity))) {
      this._latencyWindow.record(durationMs)
    }
  }

  private _onResult (result: Result<UpstreamResponse, AttemptFailure>): void {
    if (result.isOk()) {
      this._resolve(ok(result.value))
      return
    }
    const failure = result.error
    if (failure.stage === 'upstream') {
      this._wasSent ||= failure.error.sent
      this._failedUpstreams.add(failure.upstreamId)
    }
    if (this._inFlight.size > 0) {
      return
    }
    if (this._mayRetry(failure)) {
      this._startAttempt(this._failedUpstreams)
    } else {
      this._resolve(err(toCallError(failure, this._wasSent)))
    }
  }

  private _mayRetry (failure: AttemptFailure): boolean {
    const { signal, deadlineAtMs } = this._request
    if (signal.aborted || this._attemptCount >= MAX_ATTEMPTS || performance.now() >= deadlineAtMs) {
      return false
    }
    if (failure.stage === 'upstream') {
      return true
    }
    if (failure.stage === 'admission' && failure.error.kind === 'no_upstream' && this._failedUpstreams.size > 0) {
      // Only upstreams that failed this call are left, so they are allowed again.
      this._failedUpstreams.clear()
      return true
    }
    return false
  }

  private _scheduleHedge (firstUpstreamId: string): void {
    const delayMs = this._latencyWindow.percentile(HEDGE_PERCENTILE)
    if (delayMs === undefined || performance.now() + delayMs >= this._request.deadlineAtMs) {
      return
    }
    this._hedgeTimer = setTimeout(() => {
      if (this._attemptCount === 1 && this._inFlight.size === 1 && this._mayHedge()) {
        this._startAttempt(new Set([firstUpstreamId]))
      }
    }, delayMs)
  }

  private _abortAll (): void {
    for (const controller of this._inFlight) {
      controller.abort()
    }
  }
}
