import type { HttpBindings } from '@hono/node-server'
import type { RequestRecord } from './RequestRecord.js'

/** Types of the hono applications. */
export interface AppEnv {
  Bindings: HttpBindings
  Variables: { record: RequestRecord }
}
