import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { RunEnd } from './RunEnd.js'
import type { SuspectAdmission } from './SuspectAdmission.js'

/** Remembers under which requests upstreams crashed, and bounds how often such a request runs. Requests are named by their fingerprints. */
export interface ICallSuspects {
  /** Decides whether a call may be sent. */
  admit (fingerprint: string): Promise<SuspectAdmission>
  /** Whether an admitted call may be sent to another upstream while `running` of its attempts are in progress. */
  mayStartAttempt (fingerprint: string, running: number): boolean
  /** Records how a run ended that was sent to an upstream at `sentAtMs`, in terms of `performance.now()`. */
  recordRun (fingerprint: string, upstream: FleetUpstream, end: RunEnd, sentAtMs: number): void
}
