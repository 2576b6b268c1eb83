import type { Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { ApiError } from '../error/ApiError.js'
import type { AppEnv } from './AppEnv.js'

const DEADLINE_PATTERN = /^[1-9]\d{0,8}$/

/** Deadline of a request on the `performance.now()` clock; `X-Deadline-Ms` may shorten the limit. */
export function readDeadline (context: Context<AppEnv>, limitMs: number): Result<number, ApiError> {
  const header = context.req.header('x-deadline-ms')
  if (header !== undefined && !DEADLINE_PATTERN.test(header)) {
    return err({ status: 400, kind: 'invalid_request', message: 'must be a positive number of milliseconds', field: 'x-deadline-ms', outcome: 'not_run' })
  }
  const timeoutMs = header === undefined ? limitMs : Math.min(limitMs, Number(header))
  return ok(context.get('record').startedAtMs + timeoutMs)
}
