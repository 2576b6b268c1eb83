import type { BalancerQuery } from './BalancerQuery.js'
import { estimateOutstanding } from './estimateOutstanding.js'
import type { IBalancer } from './IBalancer.js'
import type { IHash } from '../../hash/IHash.js'
import { pickByHash } from './pickByHash.js'
import type { Upstream } from '../Upstream.js'

/** Up to this number of candidates all are compared; above it, two random ones. */
const MAX_COMPARED = 16
/** Maximum relative random increase of an expected wait, so that entries with equal views do not all pick the same upstream. */
const WAIT_JITTER = 0.1
/** Fraction by which the expected wait at the upstream preferred for the prefix may exceed the shortest one. */
const AFFINITY_SLACK = 0.3

/** Picks the upstream with the shortest expected wait, estimated from its outstanding requests and its time per unit. */
export class ExpectedWaitBalancer implements IBalancer {
  readonly name = 'expected-wait'

  constructor (private readonly _random: () => number, private readonly _hasher: IHash) {}

  pick (candidates: readonly Upstream[], query: BalancerQuery): Upstream {
    const nowMs = performance.now()
    const compared = this._selectCompared(candidates)
    const affinityUpstream = query.prefixHash === undefined ? undefined : pickByHash(this._hasher, query.prefixHash, candidates)
    const fallbackMs = shortestKnownUnitTimeMs([...compared, ...(affinityUpstream === undefined ? [] : [affinityUpstream])], query, nowMs)
    let best = compared[0]!
    let bestWaitMs = Infinity
    for (const candidate of compared) {
      const waitMs = estimateWaitMs(candidate, query, nowMs, fallbackMs) * (1 + WAIT_JITTER * this._random())
      if (waitMs < bestWaitMs) {
        bestWaitMs = waitMs
        best = candidate
      }
    }
    if (affinityUpstream !== undefined && estimateWaitMs(affinityUpstream, query, nowMs, fallbackMs) <= bestWaitMs * (1 + AFFINITY_SLACK)) {
      return affinityUpstream
    }
    return best
  }

  private _selectCompared (candidates: readonly Upstream[]): readonly Upstream[] {
    if (candidates.length <= MAX_COMPARED) {
      return candidates
    }
    const first = Math.floor(this._random() * candidates.length)
    const second = Math.floor(this._random() * (candidates.length - 1))
    return [candidates[first]!, candidates[second >= first ? second + 1 : second]!]
  }
}

/** Time of the request itself plus the outstanding work of the upstream divided by its parallelism. */
function estimateWaitMs (upstream: Upstream, query: BalancerQuery, nowMs: number, fallbackMs: number): number {
  const unitMs = estimateUnitTimeMs(upstream, query, nowMs) ?? fallbackMs
  const parallelism = Math.max(1, upstream.load?.capacity ?? upstream.limit)
  const outstandingOfPeers = Math.max(0, estimateOutstanding(upstream, nowMs) - upstream.outstanding)
  const serviceMs = unitMs * query.units
  return serviceMs + (outstandingOfPeers * serviceMs + estimateOwnWorkMs(upstream, query, serviceMs, nowMs)) / parallelism
}

/** Outstanding work of this entry. Long requests count with their own time, because a short request behind them waits that long. */
function estimateOwnWorkMs (upstream: Upstream, query: BalancerQuery, serviceMs: number, nowMs: number): number {
  if (query.size === 'long' || upstream.outstandingLong === 0) {
    return upstream.outstanding * serviceMs
  }
  const inFlight = upstream.inFlight ?? []
  const longUnitMs = upstream.times?.estimate('long', nowMs, inFlight)
  let workMs = 0
  for (const request of inFlight) {
    const isLong = request.size === 'long' && longUnitMs !== undefined
    workMs += isLong ? longUnitMs * request.units : serviceMs
  }
  return workMs
}

function estimateUnitTimeMs (upstream: Upstream, query: BalancerQuery, nowMs: number): number | undefined {
  return upstream.times?.estimate(query.size, nowMs, upstream.inFlight ?? [])
}

/** Time per unit assumed for an upstream without measurements: that of the fastest one, so that it is tried. */
function shortestKnownUnitTimeMs (candidates: readonly Upstream[], query: BalancerQuery, nowMs: number): number {
  let shortestMs = Infinity
  for (const candidate of candidates) {
    shortestMs = Math.min(shortestMs, estimateUnitTimeMs(candidate, query, nowMs) ?? Infinity)
  }
  return Number.isFinite(shortestMs) ? shortestMs : 1
}
