import type { IHash } from '../generation/IHash.js'

/** The entry with the highest hash for a key; every entry with the same live list finds the same owner. */
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
