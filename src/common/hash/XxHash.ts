import xxhash from 'xxhash-wasm'
import type { XXHashAPI } from 'xxhash-wasm'
import type { IByteHash } from './IByteHash.js'

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
    return this._api.h64Raw(bytes)
  }
}
