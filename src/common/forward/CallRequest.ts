import type { WorkClass } from '../schema/WorkClass.js'

/** A lookup or ticket of a caller, checked against its contract. */
export interface CallRequest {
  requestId: string
  organisation: string
  revision: number
  workClassName: string
  workClass: WorkClass
  method: string
  /** Path with query below the service's root. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** Present when the work class is never repeated. */
  idempotencyKey?: string
  deadlineAtMs: number
  /** Aborted when the caller goes away. */
  signal: AbortSignal
}
