import type { IHash } from './IHash.js'

/** Owner of a key by rendezvous hashing: the id with the highest hash. All entries with the same list get the same id. */
export function rendezvousOwner (hasher: IHash, ids: readonly string[], key: string): string | undefined {
  let owner: string | undefined
  let highest = -1n
  for (const id of [...ids].sort()) {
    const hash = hasher.hash64(`${id}/${key}`)
    if (hash > highest) {
      highest = hash
      owner = id
    }
  }
  return owner
}
