import xxhash from 'xxhash-wasm'
import type { XXHashAPI } from 'xxhash-wasm'
import type { IHash } from './IHash.js'

/** XXH64 in WebAssembly; `create` compiles the module, so await it before registering the service. */
export class XxHash implements IHash {
  private constructor (private readonly _api: XXHashAPI) {}

  static async create (): Promise<XxHash> {
    return new XxHash(await xxhash())
  }

  hash64 (text: string): bigint {
    return this._api.h64(text)
  }
}
