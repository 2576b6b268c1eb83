/** Hands out a changing list piece by piece, so that every item has its turn. */
export class RoundRobinCursor<T> {
  private _next = 0

  /** Takes items in turn, at most the whole list once, while `accept` takes them. */
  take (items: readonly T[], accept: (item: T) => boolean): void {
    for (let count = 0; count < items.length; count++) {
      const index = this._next % items.length
      if (!accept(items[index] as T)) return
      this._next = index + 1
    }
  }
}
