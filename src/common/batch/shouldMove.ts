interface MoveQuestion {
  paceMs: number
  targetPaceMs: number
  remainingEvents: number
}

/** A move costs a new connection and a prompt that is read again, so it must gain clearly more. */
const MIN_GAIN_MS = 700
/** Differences of pace below this are noise: neighbours slow an engine for a part of a second. */
const MIN_PACE_RATIO = 1.6

/** Whether a stream on a slow engine should go on at a faster one. */
export function shouldMove ({ paceMs, targetPaceMs, remainingEvents }: MoveQuestion): boolean {
  return paceMs >= MIN_PACE_RATIO * targetPaceMs && remainingEvents * (paceMs - targetPaceMs) >= MIN_GAIN_MS
}
