import { describe, it } from 'node:test'
import { expect } from 'earl'
import xxhash from 'xxhash-wasm'
import { XxHash } from './XxHash.js'

describe('XxHash', () => {
  // Entries compare fingerprints, so a hash in parts must equal the hash of the whole.
  it('hashes large bytes in parts to the same value as at once', async () => {
    const hash = await XxHash.create()
    const { h64Raw } = await xxhash()
    for (const size of [0, 1, 65_536, 65_537, 200_001]) {
      const bytes = Uint8Array.from({ length: size }, (_, index) => index % 251)
      expect(hash.hash64Bytes(bytes)).toEqual(h64Raw(bytes))
    }
  })
})
