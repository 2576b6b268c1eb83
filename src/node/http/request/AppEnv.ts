import type { HttpBindings } from '@hono/node-server'
import type { RequestRecord } from './RequestRecord.js'

/** Bindings and context variables of the hono application. */
export interface AppEnv {
  Bindings: HttpBindings
  Variables: { record: RequestRecord }
}
