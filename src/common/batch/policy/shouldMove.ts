interface MoveCandidate {
  eventIntervalMs: number
  targetEventIntervalMs: number
  remainingEvents: number
  /** For how long the stream will pause where it is. */
  expectedPauseMs: number
}

/** A move costs a new connection and a prompt that is read again, so it must gain clearly more. */
const MIN_GAIN_MS = 350
/** Differences of pace below this are noise: neighbours slow an engine for a part of a second. */
const MIN_PACE_RATIO = 1.6

/** Whether a stream on an engine that is slow or about to pause should go on at another one. */
export function shouldMove ({ eventIntervalMs: paceMs, targetEventIntervalMs: targetPaceMs, remainingEvents, expectedPauseMs: pauseMs }: MoveCandidate): boolean {
  const isSlow = paceMs >= MIN_PACE_RATIO * targetPaceMs
  return (isSlow || pauseMs > 0) && pauseMs + remainingEvents * (paceMs - targetPaceMs) >= MIN_GAIN_MS
}
