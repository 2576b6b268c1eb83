import type { Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import type { ApiError } from '../error/ApiError.js'
import type { AppEnv } from './AppEnv.js'
import { readBody } from './readBody.js'
import { toInvalidRequestError } from '../error/toInvalidRequestError.js'

const JSON_TYPE_PATTERN = /^application\/json\s*(;\s*charset\s*=\s*"?utf-8"?\s*)?$/i

/** Reads a JSON body and validates it against a schema. */
export async function readJson<T extends z.ZodType> (context: Context<AppEnv>, schema: T): Promise<Result<z.output<T>, ApiError>> {
  const encoding = context.req.header('content-encoding')
  if (!JSON_TYPE_PATTERN.test(context.req.header('content-type') ?? '') || (encoding !== undefined && encoding !== 'identity')) {
    return err({ status: 415, kind: 'unsupported_media_type', message: 'the body must be uncompressed application/json in UTF-8', outcome: 'not_run' })
  }
  const body = await readBody(context)
  if (body.isErr()) return err(body.error)
  let value: unknown
  try {
    value = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body.value))
  } catch {
    return err({ status: 400, kind: 'invalid_json', message: 'the body is not valid JSON in UTF-8', outcome: 'not_run' })
  }
  const parsed = schema.safeParse(value)
  return parsed.success ? ok(parsed.data) : err(toInvalidRequestError(parsed.error))
}
