/** The time that a planned stop leaves for requests. Times are in terms of `performance.now()`. */
export class StopWindow {
  /** Until `noticeEndsAtMs` the load balancer still selects this process; at `endsAtMs` requests in flight are cut off. */
  constructor (readonly noticeEndsAtMs: number, readonly endsAtMs: number) {}

  /** Whether a request that may take `neededMs` may be begun now. One that is rejected can go to another process. */
  accepts (neededMs: number): boolean {
    const nowMs = performance.now()
    return nowMs < this.noticeEndsAtMs || nowMs + neededMs <= this.endsAtMs
  }
}
