import type { Result } from 'neverthrow'
import type { AdmissionError } from './AdmissionError.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ISlot } from './ISlot.js'

/** A queued request. */
export interface Waiter {
  readonly request: AdmissionRequest
  readonly enqueuedAtMs: number
  /** Ends the wait; called once, after the waiter has left its queue. */
  settle (result: Result<ISlot, AdmissionError>): void
}
