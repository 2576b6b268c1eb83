import type { TrainingError } from '../../../common/training/TrainingError.js'
import type { ApiError } from './ApiError.js'

const STATUSES = { trainer_unknown: 404, step_invalid: 400, step_conflict: 409, cursor_invalid: 400, training_unavailable: 503 }

/** Maps errors of the training service to HTTP errors; a submission that may still take effect has the outcome `unknown`. */
export function toTrainingApiError (error: TrainingError): ApiError {
  return {
    status: STATUSES[error.kind],
    kind: error.kind,
    message: error.message,
    field: error.kind === 'step_invalid' ? error.field : error.kind === 'cursor_invalid' ? 'cursor' : undefined,
    outcome: error.kind === 'training_unavailable' && error.mayTakeEffect ? 'unknown' : 'not_run',
    retryAfterMs: error.kind === 'training_unavailable' ? 1000 : undefined
  }
}
