import type { Call } from '../call/Call.js'
import type { IByteHash } from '../hash/IByteHash.js'

const FINGERPRINT_DIGITS = 16

/** Fingerprint of what a call asks for: the same for each sending of a request, whichever id it has and whichever entry it reaches. */
export function fingerprintCall (hasher: IByteHash, { method, path, headers, body }: Pick<Call, 'method' | 'path' | 'headers' | 'body'>): string {
  const bodyHash = hasher.hash64Bytes(body).toString(16)
  const text = JSON.stringify([method, headers['host'] ?? '', path, bodyHash])
  return hasher.hash64(text).toString(16).padStart(FINGERPRINT_DIGITS, '0')
}
