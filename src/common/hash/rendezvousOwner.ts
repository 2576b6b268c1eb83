import type { IHash } from './IHash.js'

/** Owner of a key by rendezvous hashing: the id with the highest hash. All entries with the same list get the same id. */
export function rendezvousOwner (hash: IHash, ids: readonly string[], key: string): string | undefined {
  let owner: string | undefined
  let highest = -1n
  for (const id of [...ids].sort()) {
    const weight = hash.hash64(`${id}/${key}`)
    if (weight > highest) {
      highest = weight
      owner = id
    }
  }
  return owner
}
