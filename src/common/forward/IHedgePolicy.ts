/** Decides whether a late call may be sent to a second upstream. */
export interface IHedgePolicy {
  /** A request arrived. */
  onRequest (): void
  /** Asked when a hedge is due; true counts it as sent. */
  tryAcquire (): boolean
}
