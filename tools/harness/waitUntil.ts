import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 25

/** Polls until the check returns something truthy and returns it; errors of the check count as not yet. */
export async function waitUntil<T> (what: string, check: () => Promise<T> | T, timeoutMs = 30_000): Promise<NonNullable<T>> {
  const endMs = performance.now() + timeoutMs
  let lastError: unknown
  while (performance.now() < endMs) {
    try {
      const value = await check()
      if (value) return value
    } catch (error) {
      lastError = error
    }
    await sleep(POLL_MS)
  }
  throw new Error(`${what}: not within ${timeoutMs} ms${lastError === undefined ? '' : `, last error: ${String(lastError)}`}`)
}
