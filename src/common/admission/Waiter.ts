import type { Result } from 'neverthrow'
import type { AdmissionError } from './AdmissionError.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ISlot } from './ISlot.js'

/** A request in the queue, with the callback that ends its wait. */
export interface Waiter {
  readonly request: AdmissionRequest
  readonly enqueuedAtMs: number
  /** Resolves the wait; called once, after the waiter was removed from its queue. */
  settle (result: Result<ISlot, AdmissionError>): void
}
