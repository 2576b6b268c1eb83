import type { IMovePolicy } from './IMovePolicy.js'

/** Leaves every stream where it is. */
export class NoMoves implements IMovePolicy {
  onRequest (): void {}

  record (): void {}

  tryAcquire (): boolean {
    return false
  }
}
