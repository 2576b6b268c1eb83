import type { z } from 'zod'
import type { ApiError } from './ApiError.js'

/** Error for input that violates a schema; names the first invalid field and the violated rule. */
export function toInvalidRequestError (error: z.ZodError): ApiError {
  const issue = error.issues[0]
  const path = [...issue?.path ?? [], ...(issue?.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [])]
  const message = issue?.code === 'unrecognized_keys' ? 'unknown field' : issue?.message ?? 'invalid'
  return { status: 400, kind: 'invalid_request', message, field: path.map(String).join('.'), outcome: 'not_run' }
}
