import type { SlotResult } from '../admission/SlotResult.js'
import type { InFlightRequest } from './InFlightRequest.js'

/** Tells the upstream table of this entry's requests, which feed its estimates and crash detection. */
export interface IUpstreamUsage {
  beginRequest (upstreamId: string, work: Omit<InFlightRequest, 'startedAtMs'>): InFlightRequest
  endRequest (upstreamId: string, request: InFlightRequest, result: SlotResult): void
}
