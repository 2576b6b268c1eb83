import type { IDisposable } from './IDisposable.js'

/** Subscribes a listener to a typed event; disposing the result unsubscribes it. */
export type IEvent<T> = (listener: (event: T) => void) => IDisposable
