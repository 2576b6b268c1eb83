import type { SlotResult } from '../admission/SlotResult.js'
import type { InFlightRequest } from './InFlightRequest.js'

/** Tells the upstream table of this entry's requests, which feed its estimates and crash detection. */
export interface IUpstreamUsage {
  begin (upstreamId: string, work: Omit<InFlightRequest, 'startedAtMs'>): InFlightRequest
  end (upstreamId: string, request: InFlightRequest, result: SlotResult): void
}
