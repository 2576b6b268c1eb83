/** Fast non-cryptographic hash that returns the same values on all entries. */
export interface IHash {
  hash64 (text: string): bigint
}
