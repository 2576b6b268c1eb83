/** A run that could continue at another engine. */
interface MoveCandidate {
  /** Event interval at the current engine. */
  eventIntervalMs: number
  targetEventIntervalMs: number
  remainingEvents: number
  /** Expected remaining pause of the run at its current engine. */
  expectedPauseMs: number
  /** Expected time to send the body to the target. */
  sendMs: number
}

/** Besides the sending of its body, a move costs a new connection and another prefill of the prompt, so it must save clearly more than that. */
const MIN_GAIN_MS = 350
/**
 * Smaller differences are noise. Engines of one service differ in speed by a third or more for as long as they run, and a
 * long item that stays on a slower one completes its step seconds later.
 */
const MIN_INTERVAL_RATIO = 1.2

/** Whether a run at an engine that is slow or about to pause should continue at another one. */
export function shouldMove ({ eventIntervalMs, targetEventIntervalMs, remainingEvents, expectedPauseMs, sendMs }: MoveCandidate): boolean {
  const isSlow = eventIntervalMs >= MIN_INTERVAL_RATIO * targetEventIntervalMs
  return (isSlow || expectedPauseMs > 0) && expectedPauseMs + remainingEvents * (eventIntervalMs - targetEventIntervalMs) >= MIN_GAIN_MS + sendMs
}
