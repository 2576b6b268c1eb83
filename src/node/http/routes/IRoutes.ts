import type { Hono } from 'hono'
import type { AppEnv } from '../request/AppEnv.js'

/** Group of routes of the HTTP interface. */
export interface IRoutes {
  mount (app: Hono<AppEnv>): void
}
