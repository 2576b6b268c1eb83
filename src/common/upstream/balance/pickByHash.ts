import type { IHash } from '../../hash/IHash.js'
import { rendezvousOwner } from '../../hash/rendezvousOwner.js'
import type { Upstream } from '../Upstream.js'

/** Rendezvous hashing: the same candidate for a key on all entries while it is among the candidates. */
export function pickByHash (hash: IHash, key: string, candidates: readonly Upstream[]): Upstream {
  const owner = rendezvousOwner(hash, candidates.map(candidate => candidate.id), key)
  return candidates.find(candidate => candidate.id === owner) ?? candidates[0]!
}
