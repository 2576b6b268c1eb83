import type { IHash } from '../../hash/IHash.js'
import { rendezvousOwner } from '../../hash/rendezvousOwner.js'
import type { Upstream } from '../Upstream.js'

/** Picks by rendezvous hashing, so that all entries pick the same upstream for a key while it is a candidate. */
export function pickByHash (hasher: IHash, key: string, candidates: readonly Upstream[]): Upstream {
  const owner = rendezvousOwner(hasher, candidates.map(candidate => candidate.id), key)
  return candidates.find(candidate => candidate.id === owner) ?? candidates[0]!
}
