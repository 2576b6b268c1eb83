import type { IBalancer } from './IBalancer.js'
import type { Upstream } from '../Upstream.js'

/** Picks the candidate whose id follows that of the last pick in sort order. */
export class RoundRobinBalancer implements IBalancer {
  readonly name = 'round-robin'
  private _lastId = ''

  pick (candidates: readonly Upstream[]): Upstream {
    let first = candidates[0]!
    let next: Upstream | undefined
    for (const candidate of candidates) {
      if (candidate.id < first.id) {
        first = candidate
      }
      if (candidate.id > this._lastId && (next === undefined || candidate.id < next.id)) {
        next = candidate
      }
    }
    const picked = next ?? first
    this._lastId = picked.id
    return picked
  }
}
