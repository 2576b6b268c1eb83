/** Fast hash that does not resist attacks; equal on all entries. */
export interface IHasher {
  hash32 (text: string): number
}
