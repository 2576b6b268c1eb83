import { createHash } from 'node:crypto'
import type { IDigest } from '../../common/forward/IDigest.js'

/** IDigest on the node:crypto hash functions. */
export class Sha256Digest implements IDigest {
  sha256Hex (...parts: Array<string | Uint8Array>): string {
    const hash = createHash('sha256')
    for (const part of parts) {
      hash.update(part)
    }
    return hash.digest('hex')
  }
}
