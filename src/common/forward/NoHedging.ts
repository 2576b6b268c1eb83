import type { IHedgePolicy } from './IHedgePolicy.js'

/** Sends no hedges. */
export class NoHedging implements IHedgePolicy {
  onRequest (): void {}

  take (): boolean {
    return false
  }
}
