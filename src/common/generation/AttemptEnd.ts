import type { SlotResult } from '../admission/SlotResult.js'

/** How one engine's part of a generation ended. */
export interface AttemptEnd {
  kind: 'done' | 'broken' | 'slow' | 'refused' | 'origin_unknown' | 'cancelled' | 'deadline'
  message: string
  result: SlotResult
  /** True when the connection failed, so that the engine may have died. */
  isConnectionLost?: boolean
  /** HTTP status of a refusal. */
  status?: number
}
