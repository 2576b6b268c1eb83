import type { IBalancer } from './IBalancer.js'
import type { Upstream } from '../Upstream.js'

/** Picks a candidate with the fewest requests of this entry in flight; ties are broken at random. */
export class LeastOutstandingBalancer implements IBalancer {
  readonly name = 'least-outstanding'

  constructor (private readonly _random: () => number) {}

  pick (candidates: readonly Upstream[]): Upstream {
    let fewest = Infinity
    for (const candidate of candidates) {
      fewest = Math.min(fewest, candidate.outstanding)
    }
    const tied = candidates.filter((candidate) => candidate.outstanding === fewest)
    return tied[Math.floor(this._random() * tied.length)]!
  }
}
