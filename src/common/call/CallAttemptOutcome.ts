import type { LoadReading } from '../fleet/LoadReading.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'

/** Outcome of one attempt at one upstream, with the load that the upstream reported and whether it said that it leaves. */
export type CallAttemptOutcome = { load?: LoadReading, isLeaving?: boolean } & (
  | { kind: 'answer', answer: UpstreamResponse }
  /** The upstream has not run the request. `wrong_upstream`: another upstream uses the address now. */
  | { kind: 'not_run', reason: 'full' | 'wrong_upstream' | 'connect_failed' | 'cancelled' | 'deadline' }
  /** There is no usable response, and the request may have run. `isAbandoned`: this entry ended the attempt, and the upstream did not. */
  | { kind: 'broken', reason: string, isAbandoned: boolean }
)
