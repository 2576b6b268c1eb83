import { createHash, timingSafeEqual } from 'node:crypto'
import { createPeerToken } from './createPeerToken.js'

// Limits the replay of a recorded header while tolerating clocks that differ by minutes.
const MAX_AGE_MS = 300_000
const TOKEN_PATTERN = /^HMAC (\d{1,15})\.[0-9a-f]{64}$/

/** Checks the authentication header of a call from another entry, in constant time. */
export function isPeerTokenValid (key: string, method: string, token: string | null, nowMs: number): boolean {
  const timeMs = Number(TOKEN_PATTERN.exec(token ?? '')?.[1] ?? NaN)
  if (token === null || !(Math.abs(nowMs - timeMs) <= MAX_AGE_MS)) return false
  return timingSafeEqual(digest(token), digest(createPeerToken(key, method, timeMs)))
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
