import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { ICallSuspects } from '../suspect/ICallSuspects.js'
import type { RunEnd } from '../suspect/RunEnd.js'
import type { IAttemptGuard } from './IAttemptGuard.js'

/** Lets a call run at one upstream, to see whether its request still crashes it. */
export class TrialAttemptGuard implements IAttemptGuard {
  private _hasRun = false

  constructor (private readonly _suspects: ICallSuspects, private readonly _fingerprint: string) {}

  mayStart (running: number): boolean {
    return running === 0 && !this._hasRun
  }

  onEnded (upstream: FleetUpstream, end: RunEnd, sentAtMs: number): void {
    this._hasRun = true
    this._suspects.recordRun(this._fingerprint, upstream, end, sentAtMs)
  }
}
