import type { IDigest } from './IDigest.js'

/**
 * Values by the SHA-256 digest of a secret. A lookup compares with every entry in constant time, so that its duration
 * depends neither on the secret nor on the position of the match.
 */
export class DigestTable<T> {
  private readonly _entries: ReadonlyArray<readonly [digest: Uint8Array, value: T]>

  constructor (private readonly _digest: IDigest, entries: Iterable<readonly [digest: Uint8Array, value: T]>) {
    this._entries = [...entries]
  }

  /** Returns the value of the first entry with the digest of the secret. */
  find (secret: string): T | undefined {
    const digest = this._digest.sha256(secret)
    let index = -1
    for (let position = this._entries.length - 1; position >= 0; position--) {
      const [known] = this._entries[position] as readonly [Uint8Array, T]
      if (this._digest.isEqual(known, digest)) index = position
    }
    return this._entries[index]?.[1]
  }
}
