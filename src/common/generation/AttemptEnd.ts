import type { SlotResult } from '../admission/SlotResult.js'

/** How an attempt of a generation on one engine ended. */
export interface AttemptEnd {
  kind: 'done' | 'broken' | 'slow' | 'rejected' | 'origin_unknown' | 'cancelled' | 'deadline'
  message: string
  /** Result with which the slot is released. */
  result: SlotResult
  /** True if the connection failed, in which case the engine may have crashed. */
  isConnectionLost?: boolean
  /** HTTP status if the engine did not respond with 200. */
  status?: number
}
