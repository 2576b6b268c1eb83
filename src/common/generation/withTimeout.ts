/** Waits for a promise at most `timeoutMs` and until the signal aborts; the promise itself goes on. */
export async function withTimeout<T> (promise: PromiseLike<T>, timeoutMs: number, signal: AbortSignal): Promise<T | 'timeout' | 'aborted'> {
  if (signal.aborted) return 'aborted'
  return await new Promise((resolve, reject) => {
    const onAbort = (): void => settle(() => resolve('aborted'))
    const timer = setTimeout(() => settle(() => resolve('timeout')), Math.max(0, timeoutMs))
    const settle = (finish: () => void): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', onAbort)
      finish()
    }
    signal.addEventListener('abort', onAbort, { once: true })
    promise.then((value) => settle(() => resolve(value)), (fault) => settle(() => reject(fault)))
  })
}
