import type { IDisposable } from './IDisposable.js'

/** Creates a disposable that runs a clean-up function at most once. */
export function toDisposable (cleanUp: () => void): IDisposable {
  let isDisposed = false
  return {
    dispose () {
      if (isDisposed) return
      isDisposed = true
      cleanUp()
    }
  }
}
