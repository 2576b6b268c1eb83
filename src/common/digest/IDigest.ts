/** SHA-256 digests. */
export interface IDigest {
  /** SHA-256 over the concatenated parts, in hex. */
  sha256Hex (...parts: Array<string | Uint8Array>): string
  /** SHA-256 over the concatenated parts. */
  sha256 (...parts: Array<string | Uint8Array>): Uint8Array
  /** Compares two digests in constant time. */
  isEqual (a: Uint8Array, b: Uint8Array): boolean
}
