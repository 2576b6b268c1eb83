import type { LoadReport } from '../schema/LoadReport.js'
import type { InFlightRequest } from './InFlightRequest.js'
import type { IServiceTimes } from './IServiceTimes.js'

/** State of one upstream as known to this entry. */
export interface Upstream {
  id: string
  service: string
  /** `ip:port` of its HTTP interface. */
  address: string
  failureDomain: string
  incarnation: string
  /** True when the membership list, the load report or a peer reports that it leaves. */
  isLeaving: boolean
  /** True while it is unreachable. */
  isDown: boolean
  /** Last load report, and the `performance.now()` at which it was read; absent before the first one. */
  load?: LoadReport
  loadReadAtMs?: number
  /** Number of requests of this entry in flight; `outstandingLong` counts the long ones. */
  outstanding: number
  outstandingLong: number
  /** Number of requests of other entries in flight, according to gossip. */
  peerOutstanding: number
  /** Estimated time per unit of work (per request for calls, per token for engines). */
  unitTimeMs: number
  /** Adaptive concurrency limit for this entry's requests. */
  limit: number
  /** Number of requests of this entry in flight when the load report was read. */
  outstandingAtReport?: number
  /** `performance.now()` at which it became reachable again; absent if it has never been down. */
  recoveredAtMs?: number
  /** Requests of this entry in flight. */
  inFlight?: ReadonlySet<InFlightRequest>
  /** Time estimates by request size; absent where nothing was measured. */
  times?: IServiceTimes
}
