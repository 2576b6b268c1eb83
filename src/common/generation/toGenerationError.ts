import type { AdmissionError } from '../admission/AdmissionError.js'
import type { GenerationError } from './GenerationError.js'

const STATUS: Record<AdmissionError['kind'], number> = {
  queue_full: 429,
  deadline_unreachable: 504,
  no_upstream: 503,
  request_blocked: 422,
  caller_gone: 499
}

/** Converts an error of admission; a generation that reached an engine before is `unknown`. */
export function toGenerationError (error: AdmissionError, wasSent: boolean): GenerationError {
  return {
    kind: error.kind,
    message: error.message,
    outcome: wasSent ? 'unknown' : 'not_run',
    status: STATUS[error.kind],
    retryAfterMs: error.kind === 'queue_full' ? error.retryAfterMs : undefined
  }
}
