import type { IHedgePolicy } from './IHedgePolicy.js'

/** Hedges that may be sent at once after a quiet time. */
const BURST = 10

/** Bounds hedges to a part of the requests. */
export class RequestRatioBudget implements IHedgePolicy {
  private _tokens = 1

  constructor (private readonly _part: number) {}

  onRequest (): void {
    this._tokens = Math.min(BURST, this._tokens + this._part)
  }

  tryAcquire (): boolean {
    if (this._tokens < 1) {
      return false
    }
    this._tokens--
    return true
  }
}
