import type { IDisposable } from './IDisposable.js'

/** Owns a set of disposables and disposes them in reverse order of registration. */
export class DisposableStore implements IDisposable {
  private readonly _items: IDisposable[] = []
  private _isDisposed = false

  /** Registers an item; an item added after disposal is disposed at once. */
  add<T extends IDisposable> (item: T): T {
    if (this._isDisposed) {
      item.dispose()
    } else {
      this._items.push(item)
    }
    return item
  }

  dispose (): void {
    this._isDisposed = true
    while (this._items.length > 0) {
      this._items.pop()?.dispose()
    }
  }
}
