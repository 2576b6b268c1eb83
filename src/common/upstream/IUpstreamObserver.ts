import type { IEvent } from '../kernel/IEvent.js'
import type { LoadReport } from '../schema/LoadReport.js'
import type { Upstream } from './Upstream.js'

/** Tells the upstream table what polls of the load reports found. */
export interface IUpstreamObserver {
  /** Fires when the state of an upstream is in doubt and it should be polled at once. */
  readonly onProbeRequested: IEvent<Upstream>
  /** `startedAtMs` is the `performance.now()` at which the poll was sent. */
  updateLoad (upstreamId: string, report: LoadReport, startedAtMs: number): void
  /** A poll failed; `isRefused` when no connection could be established. */
  reportPollFailure (upstreamId: string, isRefused: boolean): void
}
