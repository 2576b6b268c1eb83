import type { LoadReport } from '../schema/LoadReport.js'
import type { InFlightRequest } from './InFlightRequest.js'
import type { IServiceTimes } from './IServiceTimes.js'

/** What this entry knows about one upstream. */
export interface Upstream {
  id: string
  service: string
  /** `ip:port` of its HTTP interface. */
  address: string
  failureDomain: string
  incarnation: string
  /** True when the list, the load report or a peer says that it leaves. */
  isLeaving: boolean
  /** True while it cannot be reached. */
  isDown: boolean
  /** Last load report and the time it was read; absent before the first. */
  load?: LoadReport
  loadReadAtMs?: number
  /** Requests of this entry in flight. */
  outstanding: number
  outstandingLong: number
  /** Requests of other entries in flight, by their gossip. */
  peerOutstanding: number
  /** Estimated time of a unit of work (ms per request for calls, per token for engines). */
  unitTimeMs: number
  /** Adaptive limit of this entry's requests in flight. */
  limit: number
  /** Requests of this entry that were in flight when the load report was read. */
  outstandingAtReport?: number
  /** `performance.now()` at which it became reachable again; absent if it never was down. */
  recoveredAtMs?: number
  /** Requests of this entry in flight. */
  inFlight?: ReadonlySet<InFlightRequest>
  /** Time estimates by size of work; absent where nothing was measured. */
  times?: IServiceTimes
}
