import type { Upstream } from '../upstream/Upstream.js'
import type { ISlot } from './ISlot.js'
import type { SlotResult } from './SlotResult.js'

/** ISlot that ignores every release after the first. */
export class Slot implements ISlot {
  private _isReleased = false

  constructor (
    readonly upstream: Upstream,
    readonly queuedMs: number,
    private readonly _onRelease: (result: SlotResult) => void
  ) {}

  release (result: SlotResult): void {
    if (!this._isReleased) {
      this._isReleased = true
      this._onRelease(result)
    }
  }
}
