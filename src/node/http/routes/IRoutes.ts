import type { Hono } from 'hono'
import type { AppEnv } from '../request/AppEnv.js'

/** A part of the HTTP interface. */
export interface IRoutes {
  mount (app: Hono<AppEnv>): void
}
