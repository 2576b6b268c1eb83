import type { IBalancer } from './IBalancer.js'
import type { Upstream } from '../Upstream.js'

/** Picks any candidate with equal probability. */
export class RandomBalancer implements IBalancer {
  readonly name = 'random'

  constructor (private readonly _random: () => number) {}

  pick (candidates: readonly Upstream[]): Upstream {
    return candidates[Math.floor(this._random() * candidates.length)]!
  }
}
