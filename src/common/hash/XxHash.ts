import xxhash from 'xxhash-wasm'
import type { XXHashAPI } from 'xxhash-wasm'
import type { IByteHash } from './IByteHash.js'

/** Larger inputs are hashed in parts of this size, because the module copies its input into memory that it never frees. */
const MAX_PART_BYTES = 65_536

/** XXH64 in WebAssembly; `create` compiles the module, so await it before registering the service. */
export class XxHash implements IByteHash {
  private constructor (private readonly _api: XXHashAPI) {}

  static async create (): Promise<XxHash> {
    return new XxHash(await xxhash())
  }

  hash64 (text: string): bigint {
    return this._api.h64(text)
  }

  hash64Bytes (bytes: Uint8Array): bigint {
    if (bytes.length <= MAX_PART_BYTES) return this._api.h64Raw(bytes)
    const hash = this._api.create64()
    for (let offset = 0; offset < bytes.length; offset += MAX_PART_BYTES) hash.update(bytes.subarray(offset, offset + MAX_PART_BYTES))
    return hash.digest()
  }
}
