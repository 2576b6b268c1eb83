import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { RunEnd } from '../suspect/RunEnd.js'

/** Bounds the attempts of one call, and learns how they end. */
export interface IAttemptGuard {
  /** Whether another attempt may start while `running` attempts of the call are in progress. */
  mayStart (running: number): boolean
  /** A run at an upstream, sent at `sentAtMs`, has ended; not called for attempts that have not run. */
  onEnded (upstream: FleetUpstream, end: RunEnd, sentAtMs: number): void
}
