import type { Route } from '../routing/Route.js'

/** One request of a caller, with its complete body. */
export interface Call {
  requestId: string
  /** What the request asks for, see `fingerprintCall`; undefined for requests of this system, whose content is known to be sound. */
  fingerprint?: string
  /** Organisation of the caller; undefined on public routes and where none are configured. */
  organisation?: string
  route: Route
  service: string
  method: string
  /** Path and query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** `performance.now()` at which the caller's own time limit or that of the route expires, whichever comes first. */
  deadlineAtMs: number
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}
