import type { IDisposable } from './IDisposable.js'

/** Calls `callback` every `intervalMs` until it is disposed. */
export function startInterval (callback: () => void, intervalMs: number): IDisposable {
  const timer = setInterval(callback, intervalMs)
  return { dispose: () => clearInterval(timer) }
}
