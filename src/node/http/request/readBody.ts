import type { Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { ApiError } from '../error/ApiError.js'
import type { AppEnv } from './AppEnv.js'

/** Reads the whole request body; a middleware has applied the size limit before. */
export async function readBody (context: Context<AppEnv>): Promise<Result<Uint8Array, ApiError>> {
  try {
    return ok(new Uint8Array(await context.req.arrayBuffer()))
  } catch {
    return err({ status: 400, kind: 'body_incomplete', message: 'the request body is incomplete', outcome: 'not_run' })
  }
}
