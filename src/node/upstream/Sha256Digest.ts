import { createHash, timingSafeEqual, type Hash } from 'node:crypto'
import type { IDigest } from '../../common/digest/IDigest.js'

/** IDigest on the node:crypto hash functions. */
export class Sha256Digest implements IDigest {
  sha256Hex (...parts: Array<string | Uint8Array>): string {
    return hashParts(parts).digest('hex')
  }

  sha256 (...parts: Array<string | Uint8Array>): Uint8Array {
    return hashParts(parts).digest()
  }

  isEqual (a: Uint8Array, b: Uint8Array): boolean {
    return a.length === b.length && timingSafeEqual(a, b)
  }
}

function hashParts (parts: ReadonlyArray<string | Uint8Array>): Hash {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part)
  return hash
}
