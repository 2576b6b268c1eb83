import type { InFlightRequest } from '../upstream/InFlightRequest.js'
import { Progress } from '../upstream/Progress.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { ISlot } from './ISlot.js'
import type { SlotResult } from './SlotResult.js'

/** ISlot that ignores all releases but the first. */
export class Slot implements ISlot {
  private _isReleased = false

  constructor (
    readonly upstream: Upstream,
    readonly queuedMs: number,
    private readonly _request: InFlightRequest,
    private readonly _onRelease: (result: SlotResult) => void
  ) {}

  progress (units: number): void {
    const nowMs = performance.now()
    if (this._request.progress === undefined) {
      this._request.progress = new Progress(nowMs)
    } else {
      this._request.progress.add(units, nowMs)
    }
  }

  release (result: SlotResult): void {
    if (!this._isReleased) {
      this._isReleased = true
      this._onRelease(result)
    }
  }
}
