import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 25

/**
 * Polls until `check` returns a truthy value and resolves with it; an error thrown by `check` counts as a failed poll.
 * Rejects after `timeoutMs`.
 */
export async function waitUntil<T> (description: string, check: () => Promise<T> | T, timeoutMs = 30_000): Promise<NonNullable<T>> {
  const deadlineMs = performance.now() + timeoutMs
  let lastError: unknown
  while (performance.now() < deadlineMs) {
    try {
      const value = await check()
      if (value) return value
    } catch (error) {
      lastError = error
    }
    await sleep(POLL_MS)
  }
  throw new Error(`${description}: not within ${timeoutMs} ms${lastError === undefined ? '' : `, last error: ${String(lastError)}`}`)
}
