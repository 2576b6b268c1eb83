/** Change of the difference between wall clock and monotonic clock that shows a suspension or a step of the wall clock. */
const CLOCK_JUMP_MS = 400
/** Twice the rate at which clocks are slewed (500 ppm), so that a slewed clock is no jump. */
const MAX_SLEW_MS_PER_MS = 0.001

/**
 * Detects suspensions of the host, in which the monotonic clock stops but the wall clock does not, and steps of the
 * wall clock in either direction. Several small jumps count as one, so that short suspensions do not stay undetected
 * one by one.
 */
export class ClockJumpDetector {
  private _checkedAtMs = performance.now()
  private _lastOffsetMs = Date.now() - this._checkedAtMs
  /** Follows the offset no faster than clocks are slewed. */
  private _baselineMs = this._lastOffsetMs

  /**
   * Returns by how much the wall clock has jumped ahead (positive: also a suspension) or back since the last check;
   * undefined if it has not.
   */
  check (): number | undefined {
    const nowMs = performance.now()
    const offsetMs = Date.now() - nowMs
    const stepMs = offsetMs - this._lastOffsetMs
    const driftMs = offsetMs - this._baselineMs
    const allowedMs = (nowMs - this._checkedAtMs) * MAX_SLEW_MS_PER_MS
    this._checkedAtMs = nowMs
    this._lastOffsetMs = offsetMs
    const jumpMs = Math.abs(stepMs) >= CLOCK_JUMP_MS ? stepMs : driftMs
    if (Math.abs(jumpMs) < CLOCK_JUMP_MS) {
      this._baselineMs += Math.max(-allowedMs, Math.min(allowedMs, driftMs))
      return undefined
    }
    this._baselineMs = offsetMs
    return jumpMs
  }
}
