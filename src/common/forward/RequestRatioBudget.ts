import type { IHedgePolicy } from './IHedgePolicy.js'

/** Most tokens that accumulate while none are used. */
const MAX_TOKENS = 10

/** Token bucket that bounds hedges, or moves of generations, to a ratio of the requests. */
export class RequestRatioBudget implements IHedgePolicy {
  private _tokens = 1

  constructor (private readonly _ratio: number) {}

  onRequest (): void {
    this._tokens = Math.min(MAX_TOKENS, this._tokens + this._ratio)
  }

  tryAcquire (): boolean {
    if (this._tokens < 1) {
      return false
    }
    this._tokens--
    return true
  }
}
