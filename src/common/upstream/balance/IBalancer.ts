import type { BalancerQuery } from './BalancerQuery.js'
import type { Upstream } from '../Upstream.js'

/** Balancing policy: picks one of the candidates, all of which have capacity for the request. */
export interface IBalancer {
  readonly name: 'random' | 'round-robin' | 'least-outstanding' | 'expected-wait'
  pick (candidates: readonly Upstream[], query: BalancerQuery): Upstream
}
