import type { Context } from 'hono'
import type { ContentfulStatusCode } from 'hono/utils/http-status'
import type { ApiError } from './ApiError.js'
import type { AppEnv } from '../request/AppEnv.js'
import { toErrorBody } from './toErrorBody.js'

/** Responds with an error body and sets the outcome for the access log. */
export function sendError (context: Context<AppEnv>, error: ApiError): Response {
  const record = context.get('record')
  record.outcome = error.kind
  if (error.retryAfterMs !== undefined) context.header('retry-after', String(Math.max(1, Math.ceil(error.retryAfterMs / 1000))))
  if (error.status === 401) context.header('www-authenticate', 'Bearer')
  return context.json(toErrorBody(error), error.status as ContentfulStatusCode)
}
