/** Position in a list that changes between calls; each call continues after the last item taken, so that every item is taken in turn. */
export class RoundRobinCursor<T> {
  private _nextIndex = 0

  /** Offers items to `accept`, each at most once per call, until it returns false; the rejected item comes first in the next call. */
  take (items: readonly T[], accept: (item: T) => boolean): void {
    for (let count = 0; count < items.length; count++) {
      const index = this._nextIndex % items.length
      if (!accept(items[index] as T)) return
      this._nextIndex = index + 1
    }
  }
}
