import type { IDisposable } from './IDisposable.js'
import type { IEvent } from './IEvent.js'
import { toDisposable } from './toDisposable.js'

/** Source of one typed event. Listeners run synchronously in order of subscription. */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(event: T) => void>()

  readonly event: IEvent<T> = (listener) => {
    this._listeners.add(listener)
    return toDisposable(() => this._listeners.delete(listener))
  }

  fire (event: T): void {
    // Copies the set so that a listener may unsubscribe others while the event is delivered.
    for (const listener of [...this._listeners]) {
      listener(event)
    }
  }

  dispose (): void {
    this._listeners.clear()
  }
}
