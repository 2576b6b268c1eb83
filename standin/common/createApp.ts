import { Hono } from 'hono'
import { HTTPException } from 'hono/http-exception'
import type { StandInEnv } from './StandInEnv.js'

/** Creates a hono application that answers errors in the system's error form. */
export function createApp (): Hono<StandInEnv> {
  const app = new Hono<StandInEnv>()
  app.onError((error, c) => {
    const status = error instanceof HTTPException ? error.status : 500
    const kind = status < 500 ? 'invalid_request' : 'unavailable'
    return c.json({ error: { kind, message: error.message } }, status)
  })
  return app
}
