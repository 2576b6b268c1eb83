import type { Upstream } from '../upstream/Upstream.js'
import type { SlotResult } from './SlotResult.js'

/** Permission to run one request on an upstream; released exactly once. */
export interface ISlot {
  readonly upstream: Upstream
  /** Time spent in the queue, milliseconds. */
  readonly queuedMs: number
  release (result: SlotResult): void
}
