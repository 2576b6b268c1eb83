/** Fast hash without cryptographic strength, equal on all entries. */
export interface IHash {
  hash64 (text: string): bigint
}
