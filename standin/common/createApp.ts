import { Hono } from 'hono'
import { HTTPException } from 'hono/http-exception'
import type { StandInEnv } from './StandInEnv.js'

/** Creates a Hono application that reports errors in the error format of hyssopvalve. */
export function createApp (): Hono<StandInEnv> {
  const app = new Hono<StandInEnv>()
  app.onError((error, c) => {
    const status = error instanceof HTTPException ? error.status : 500
    const kind = status < 500 ? 'invalid_request' : 'unavailable'
    return c.json({ error: { kind, message: error.message } }, status)
  })
  return app
}
