import type { HttpBindings } from '@hono/node-server'

/** Environment of the stand-ins' Hono applications, which gives access to the raw connection. */
export interface StandInEnv {
  Bindings: HttpBindings
}
