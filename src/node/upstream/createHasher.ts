import xxhash from 'xxhash-wasm'
import type { IHasher } from '../../common/upstream/IHasher.js'

/** Loads the xxHash module and returns a hasher on XXH32. */
export async function createHasher (): Promise<IHasher> {
  const api = await xxhash()
  return { hash32: (text) => api.h32(text) }
}
