import type { SlotResult } from '../admission/SlotResult.js'
import type { InFlightRequest } from './InFlightRequest.js'

/** Tracks this entry's requests on upstreams, as input for time estimates and crash detection; implemented by the upstream table. */
export interface IUpstreamUsage {
  beginRequest (upstreamId: string, work: Omit<InFlightRequest, 'startedAtMs'>): InFlightRequest
  endRequest (upstreamId: string, request: InFlightRequest, result: SlotResult): void
}
