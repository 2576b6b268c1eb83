import { err, ok, type Result } from 'neverthrow'
import type { IAdmission } from '../admission/IAdmission.js'
import type { ISlot } from '../admission/ISlot.js'
import type { SlotResult } from '../admission/SlotResult.js'
import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { AttemptOptions } from './AttemptOptions.js'
import type { CallRequest } from './CallRequest.js'

/** Units of work of a call, for admission and service times. */
const CALL_UNITS = 1
const MIN_SERVER_ERROR_STATUS = 500

/** Runs one attempt of a call: acquires a slot, sends the request once and releases the slot. */
export class AttemptRunner {
  constructor (
    private readonly _admission: IAdmission,
    private readonly _client: IUpstreamClient,
    private readonly _suspects: ISuspectTable
  ) {}

  async run (request: CallRequest, options: AttemptOptions): Promise<Result<UpstreamResponse, AttemptFailure>> {
    const { service, size } = request.workClass
    const admitted = await this._admission.acquire({
      organisation: request.organisation,
      service,
      workClass: request.workClassName,
      size,
      units: CALL_UNITS,
      deadlineAtMs: request.deadlineAtMs,
      fingerprint: options.fingerprint,
      excluded: options.excluded,
      signal: options.queueSignal
    })
    if (admitted.isErr()) {
      return err({ stage: 'admission', error: admitted.error })
    }
    return await this._send(request, options, admitted.value)
  }

  private async _send (request: CallRequest, options: AttemptOptions, slot: ISlot): Promise<Result<UpstreamResponse, AttemptFailure>> {
    const rejection = options.checkBeforeSend?.()
    if (rejection !== undefined) {
      slot.release({ kind: 'cancelled' })
      return err({ stage: 'stopped', message: rejection })
    }
    options.onDispatched?.(slot.upstream.id)
    const startedAtMs = performance.now()
    const { method, path, headers, body, deadlineAtMs } = request
    const upstreamRequest = { requestId: options.requestId, method, path, headers, deadlineAtMs, ...(body.length > 0 ? { body } : {}) }
    const response = await this._client.call(slot.upstream.address, upstreamRequest, options.callSignal)
    if (response.isErr()) {
      slot.release(toSlotResult(response.error, request.signal.aborted))
      return err({ stage: 'upstream', error: response.error, upstreamId: slot.upstream.id })
    }
    if (response.value.status >= MIN_SERVER_ERROR_STATUS) {
      // Not `completed`: an upstream that fails fast would look fast and attract all requests.
      slot.release({ kind: 'cancelled' })
      this._suspects.recordCompletion(options.fingerprint)
    } else {
      slot.release({ kind: 'completed', durationMs: performance.now() - startedAtMs, units: CALL_UNITS })
    }
    return ok(response.value)
  }
}

/** A cancelled attempt is `abandoned` only if its caller disconnected; otherwise it lost to another attempt of the call. */
function toSlotResult (error: UpstreamError, isCallerGone: boolean): SlotResult {
  switch (error.kind) {
    case 'connect_failed': return { kind: 'failed', sent: false }
    case 'reset':
    case 'invalid_status':
    case 'truncated': return { kind: 'failed', sent: true }
    case 'timeout': return { kind: 'timeout' }
    case 'cancelled': return { kind: error.sent && isCallerGone ? 'abandoned' : 'cancelled' }
    case 'mismatched':
    case 'deadline_before_send': return { kind: 'cancelled' }
  }
}
