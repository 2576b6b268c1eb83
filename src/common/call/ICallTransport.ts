import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { Call } from './Call.js'
import type { CallAttemptOutcome } from './CallAttemptOutcome.js'

/** Sends one attempt of a call to one upstream. Aborting the signal closes its connection. */
export interface ICallTransport {
  send (call: Call, upstream: FleetUpstream, signal: AbortSignal): Promise<CallAttemptOutcome>
}
