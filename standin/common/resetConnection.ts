import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import type { StandInEnv } from './StandInEnv.js'

/** Resets the connection of a request without a response. */
export function resetConnection (c: Context<StandInEnv>): Response {
  c.env.incoming.socket.resetAndDestroy()
  return RESPONSE_ALREADY_SENT
}
