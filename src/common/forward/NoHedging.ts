import type { IHedgePolicy } from './IHedgePolicy.js'

/** Sends no hedges. */
export class NoHedging implements IHedgePolicy {
  onRequest (): void {}

  tryAcquire (): boolean {
    return false
  }
}
