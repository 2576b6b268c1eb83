import type { IBalancer } from './IBalancer.js'
import type { Upstream } from '../Upstream.js'

/** Picks a candidate with the fewest requests of this entry in flight; ties are broken at random. */
export class LeastOutstandingBalancer implements IBalancer {
  readonly name = 'least-outstanding'

  constructor (private readonly _random: () => number) {}

  pick (candidates: readonly Upstream[]): Upstream {
    let least = Infinity
    for (const candidate of candidates) {
      least = Math.min(least, candidate.outstanding)
    }
    const tied = candidates.filter((candidate) => candidate.outstanding === least)
    return tied[Math.floor(this._random() * tied.length)]!
  }
}
