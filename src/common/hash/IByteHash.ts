import type { IHash } from './IHash.js'

/** Hash of texts and of bytes. */
export interface IByteHash extends IHash {
  hash64Bytes (bytes: Uint8Array): bigint
}
