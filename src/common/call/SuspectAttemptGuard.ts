import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { ICallSuspects } from '../suspect/ICallSuspects.js'
import type { RunEnd } from '../suspect/RunEnd.js'
import type { IAttemptGuard } from './IAttemptGuard.js'

/** Stops the attempts of a call whose request has crashed too many upstreams. */
export class SuspectAttemptGuard implements IAttemptGuard {
  constructor (private readonly _suspects: ICallSuspects, private readonly _fingerprint: string) {}

  mayStart (running: number): boolean {
    return this._suspects.mayStartAttempt(this._fingerprint, running)
  }

  onEnded (upstream: FleetUpstream, end: RunEnd, sentAtMs: number): void {
    this._suspects.recordRun(this._fingerprint, upstream, end, sentAtMs)
  }
}
