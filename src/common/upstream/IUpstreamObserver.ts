import type { IEvent } from '../kernel/IEvent.js'
import type { LoadReport } from '../schema/LoadReport.js'
import type { Upstream } from './Upstream.js'

/** Receives the results of load report polls; implemented by the upstream table. */
export interface IUpstreamObserver {
  /** Fires when the state of an upstream is uncertain and it should be polled at once. */
  readonly onProbeRequested: IEvent<Upstream>
  /** `startedAtMs` is the `performance.now()` at which the poll was sent. */
  updateLoad (upstreamId: string, report: LoadReport, startedAtMs: number): void
  /** A poll failed; `isConnectFailure` when no connection could be established. */
  reportPollFailure (upstreamId: string, isConnectFailure: boolean): void
}
