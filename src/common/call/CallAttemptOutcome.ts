import type { LoadReading } from '../fleet/LoadReading.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'

/** How one attempt at one upstream ended. */
export type CallAttemptOutcome = { load?: LoadReading } & (
  | { kind: 'answer', answer: UpstreamResponse }
  /** The upstream says that it did not run the request. `wrong_upstream`: another one has its address. */
  | { kind: 'not_run', reason: 'full' | 'wrong_upstream' | 'connect_failed' | 'cancelled' | 'deadline' }
  /** The answer is not usable and the request may have run. */
  | { kind: 'broken', reason: string }
)
