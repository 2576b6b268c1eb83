/** Decides whether a call without a timely response may be sent to a second upstream. */
export interface IHedgePolicy {
  /** Called for each request. */
  onRequest (): void
  /** Called when a hedge is due; returns true if it may be sent, and counts it. */
  tryAcquire (): boolean
}
