import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { Sha256Digest } from '../../node/upstream/Sha256Digest.js'
import { DigestTable } from './DigestTable.js'

class CountingDigest extends Sha256Digest {
  comparisons = 0

  override isEqual (a: Uint8Array, b: Uint8Array): boolean {
    this.comparisons += 1
    return super.isEqual(a, b)
  }
}

describe('DigestTable', () => {
  let digest: CountingDigest
  let table: DigestTable<number>

  beforeEach(() => {
    digest = new CountingDigest()
    table = new DigestTable(digest, ['a', 'b', 'c', 'b'].map((secret, index) => [digest.sha256(secret), index]))
  })

  it('finds the first entry of a secret', () => {
    expect(['a', 'b', 'c', 'd', ''].map(secret => table.find(secret))).toEqual([0, 1, 2, undefined, undefined])
  })

  // Guards against a duration that tells where, or whether, a secret is listed.
  it('makes the same comparisons for each secret', () => {
    for (const secret of ['a', 'c', 'd']) {
      digest.comparisons = 0
      table.find(secret)
      expect(digest.comparisons).toEqual(4)
    }
  })

  it('does not take a digest of another length for equal', () => {
    expect(digest.isEqual(digest.sha256('a'), digest.sha256('a').subarray(1))).toEqual(false)
    expect(digest.isEqual(digest.sha256('a'), digest.sha256('a'))).toEqual(true)
  })
})
