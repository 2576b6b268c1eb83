import type { ResultAsync } from 'neverthrow'
import type { AdmissionError } from './AdmissionError.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ISlot } from './ISlot.js'

/** Queues requests and assigns them slots on upstreams by size, organisation share and deadline. */
export interface IAdmission {
  /** Resolves with a slot once the request may be sent, or with the reason for which it is rejected. */
  acquire (request: AdmissionRequest): ResultAsync<ISlot, AdmissionError>
  /** Number of requests in the queue of a service. */
  queued (service: string): number
}
