import type { ResultAsync } from 'neverthrow'
import type { AdmissionError } from './AdmissionError.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ISlot } from './ISlot.js'

/** Queues requests and gives them places on upstreams, by class, organisation share and deadline. */
export interface IAdmission {
  acquire (request: AdmissionRequest): ResultAsync<ISlot, AdmissionError>
  /** Requests waiting, by service. */
  queued (service: string): number
}
