import type { IHash } from './IHash.js'

/** The id with the highest hash for a key; everyone with the same list finds the same id. */
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
