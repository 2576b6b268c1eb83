import type { IMovePolicy } from './IMovePolicy.js'

/** Never moves a stream. */
export class NoMoves implements IMovePolicy {
  onRequest (): void {}

  record (): void {}

  tryAcquire (): boolean {
    return false
  }
}
