import { err, ok, type Result } from 'neverthrow'
import type { IClaimTicket } from '../claim/IClaimTicket.js'
import type { StoredResponse } from '../schema/StoredResponse.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { AttemptRunner } from './AttemptRunner.js'
import type { CallError } from './CallError.js'
import type { CallRequest } from './CallRequest.js'
import { toBase64 } from './toBase64.js'
import { toCallError } from './toCallError.js'

/** Largest body that is stored in the log to respond to repeats of the request. */
const MAX_STORED_BODY_BYTES = 65_536

/** A call whose claim this entry has won. It is sent at most once, and the claim is always settled. */
export class AtMostOnceCall {
  private readonly _unreachableUpstreams = new Set<string>()
  /** Never aborted: the call continues after its caller has disconnected, so that a repeat of the request gets the response. */
  private readonly _callSignal = new AbortController().signal

  constructor (
    private readonly _runner: AttemptRunner,
    private readonly _request: CallRequest,
    private readonly _fingerprint: string,
    private readonly _ticket: IClaimTicket
  ) {}

  async run (): Promise<Result<UpstreamResponse, CallError>> {
    for (;;) {
      const result = await this._attempt()
      if (result.isOk()) {
        this._ticket.complete(toStoredResponse(result.value))
        return ok(result.value)
      }
      const failure = result.error
      const wasSent = failure.stage === 'upstream' && failure.error.sent
      if (wasSent) {
        this._ticket.abandon()
        return err(toCallError(failure, true))
      }
      if (!this._mayRetry(failure)) {
        this._ticket.release()
        return err(toCallError(failure, false))
      }
    }
  }

  private async _attempt (): Promise<Result<UpstreamResponse, AttemptFailure>> {
    return await this._runner.run(this._request, {
      requestId: this._request.requestId,
      excluded: new Set(this._unreachableUpstreams),
      fingerprint: this._fingerprint,
      queueSignal: this._request.signal,
      callSignal: this._callSignal,
      checkBeforeSend: () => this._checkBeforeSend()
    })
  }

  private _checkBeforeSend (): string | undefined {
    if (this._request.signal.aborted) {
      return 'the caller disconnected before the call was sent'
    }
    if (performance.now() >= this._request.deadlineAtMs) {
      return 'the deadline passed before the call was sent'
    }
    return this._ticket.mayStart() ? undefined : 'the claim is no longer valid'
  }

  /** Retries only if no connection was established, so that nothing was sent. */
  private _mayRetry (failure: AttemptFailure): boolean {
    if (failure.stage === 'upstream' && failure.error.kind === 'connect_failed') {
      this._unreachableUpstreams.add(failure.upstreamId)
      return performance.now() < this._request.deadlineAtMs
    }
    if (failure.stage === 'admission' && failure.error.kind === 'no_upstream' && this._unreachableUpstreams.size > 0) {
      this._unreachableUpstreams.clear()
      return performance.now() < this._request.deadlineAtMs
    }
    return false
  }
}

function toStoredResponse (response: UpstreamResponse): StoredResponse {
  const isOmitted = response.body.length > MAX_STORED_BODY_BYTES
  return {
    status: response.status,
    headers: response.headers,
    body_base64: isOmitted ? '' : toBase64(response.body),
    body_omitted: isOmitted
  }
}
