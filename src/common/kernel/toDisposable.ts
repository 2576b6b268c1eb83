import type { IDisposable } from './IDisposable.js'

/** Wraps a clean-up function as a disposable that runs it at most once. */
export function toDisposable (cleanUp: () => void): IDisposable {
  let done = false
  return {
    dispose () {
      if (done) return
      done = true
      cleanUp()
    }
  }
}
