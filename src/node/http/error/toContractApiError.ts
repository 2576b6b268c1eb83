import type { ContractError } from '../../../common/contract/ContractError.js'
import type { ApiError } from './ApiError.js'

const STATUSES = { contract_invalid: 400, contract_conflict: 409, contract_unknown: 404, contract_unavailable: 503 }

/** Maps errors of the contract layer to HTTP errors. */
export function toContractApiError (error: ContractError): ApiError {
  const base = { status: STATUSES[error.kind], kind: error.kind, message: error.message }
  switch (error.kind) {
    case 'contract_invalid':
      return { ...base, field: error.field, outcome: 'not_run', details: { line: error.line, rule: error.rule } }
    case 'contract_conflict':
      return { ...base, outcome: 'not_run', details: { current_revision: error.currentRevision } }
    case 'contract_unavailable':
      return { ...base, outcome: error.mayTakeEffect ? 'unknown' : 'not_run', retryAfterMs: 1000 }
    default:
      return { ...base, outcome: 'not_run' }
  }
}
