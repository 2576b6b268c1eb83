import type { AdmissionError } from '../admission/AdmissionError.js'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { CallError } from './CallError.js'

const ADMISSION_STATUS: Record<AdmissionError['kind'], number> = {
  queue_full: 429,
  deadline_unreachable: 503,
  no_upstream: 503,
  request_blocked: 422,
  caller_gone: 499
}

const UPSTREAM_STATUS: Record<UpstreamError['kind'], number> = {
  connect_failed: 503,
  deadline_before_send: 504,
  reset: 502,
  timeout: 504,
  truncated: 502,
  mismatched: 502,
  invalid_status: 502,
  cancelled: 499
}

/** Converts a failure to the error for the caller. `wasSent`: any attempt may have sent a byte. */
export function toCallError (failure: AttemptFailure, wasSent: boolean): CallError {
  const outcome = wasSent ? 'unknown' : 'not_run'
  switch (failure.stage) {
    case 'stopped':
      return { kind: 'deadline_unreachable', message: failure.message, outcome, status: 503 }
    case 'upstream':
      return { kind: failure.error.kind, message: failure.error.message, outcome, status: UPSTREAM_STATUS[failure.error.kind] }
    case 'admission': {
      const { error } = failure
      const callError: CallError = { kind: error.kind, message: error.message, outcome, status: ADMISSION_STATUS[error.kind] }
      return error.kind === 'queue_full' ? { ...callError, retryAfterMs: error.retryAfterMs } : callError
    }
  }
}
