/** SHA-256 over the concatenated parts, in hex. */
export interface IDigest {
  sha256Hex (...parts: Array<string | Uint8Array>): string
}
