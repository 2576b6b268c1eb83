import type { IHasher } from './IHasher.js'
import type { Upstream } from './Upstream.js'

/** Rendezvous hashing: the same candidate for a key on all entries while it is among the candidates. */
export function pickByHash (hasher: IHasher, key: string, candidates: readonly Upstream[]): Upstream {
  let best = candidates[0]!
  let bestHash = -1
  for (const candidate of candidates) {
    const hash = hasher.hash32(`${key}/${candidate.id}`)
    if (hash > bestHash) {
      bestHash = hash
      best = candidate
    }
  }
  return best
}
