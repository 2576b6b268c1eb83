import { DisposableStore } from './DisposableStore.js'
import type { IDisposable } from './IDisposable.js'

/** Base class for services that own disposables. */
export abstract class Disposable implements IDisposable {
  private readonly _store = new DisposableStore()

  protected _register<T extends IDisposable> (item: T): T {
    return this._store.add(item)
  }

  dispose (): void {
    this._store.dispose()
  }
}
