import type { Route } from '../routing/Route.js'

/** One request of a caller, read whole. */
export interface Call {
  requestId: string
  route: Route
  service: string
  method: string
  /** Path with query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** `performance.now()` until when the caller waits, by its own word and by the route. */
  deadlineAtMs: number
  signal: AbortSignal
}
