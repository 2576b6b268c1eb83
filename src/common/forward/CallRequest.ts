import type { WorkClass } from '../schema/WorkClass.js'

/** A lookup or ticket that has been validated against the contract of its organisation. */
export interface CallRequest {
  requestId: string
  organisation: string
  /** Revision of the contract that applies to the call. */
  revision: number
  workClassName: string
  workClass: WorkClass
  method: string
  /** Path and query, relative to the root of the service. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** Required if the work class has `repeat = never`. */
  idempotencyKey?: string
  /** In the time of `performance.now()`. */
  deadlineAtMs: number
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}
