import type { RouteKind } from './RouteKind.js'

/** A route: the requests that it matches, the services that receive them and their limits. */
export interface Route {
  name: string
  /** HTTP host name, as in the Host header. */
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Services with their traffic weights; a single element if the traffic is not split. */
  services: ReadonlyArray<{ name: string, weight: number }>
  /** Maximum number of upstreams that may run one request. */
  maxAttempts: number
  /** Maximum response time for callers, whatever their own time limit. */
  timeoutMs: number
  /** Response time up to which a response has its full value for the caller. */
  targetLatencyMs: number
  /** 0 is the highest priority. */
  priority: number
  /** Whether another upstream may continue a stream after its last event. */
  isResumable: boolean
  /** Batches only: time from submission until all results are due. */
  batchDeadlineMs: number
  /** Batches only: time from submission after which an item may be aborted. */
  batchRetentionMs: number
  /** Batches only: whether all events of a result must come from one weight version. */
  isSingleVersion: boolean
  /** Whether callers need no API key, also where organisations are configured. */
  isPublic?: boolean
}
