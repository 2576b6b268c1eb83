import type { BalancerQuery } from './BalancerQuery.js'
import { estimateOutstanding } from './estimateOutstanding.js'
import type { IBalancer } from './IBalancer.js'
import type { IHash } from '../../hash/IHash.js'
import { pickByHash } from './pickByHash.js'
import type { Upstream } from '../Upstream.js'

/** Candidates up to this number are all compared; above it two random ones. */
const MAX_COMPARED = 16
/** Spread of the expected waits, so that entries with equal views do not all pick the same upstream. */
const NOISE = 0.1
/** Part by which the wait at the prefix's upstream may exceed the least one. */
const AFFINITY_SLACK = 0.3

/** Picks the least expected wait: requests held by the upstream times its estimated time per request. */
export class ExpectedWaitBalancer implements IBalancer {
  readonly name = 'expected-wait'

  constructor (private readonly _random: () => number, private readonly _hasher: IHash) {}

  pick (candidates: readonly Upstream[], query: BalancerQuery): Upstream {
    const nowMs = performance.now()
    const compared = this._sample(candidates)
    const prefixHome = query.prefixHash === undefined ? undefined : pickByHash(this._hasher, query.prefixHash, candidates)
    const fallbackMs = leastKnownUnitTime([...compared, ...(prefixHome === undefined ? [] : [prefixHome])], query, nowMs)
    let best = compared[0]!
    let bestWait = Infinity
    for (const candidate of compared) {
      const wait = expectedWait(candidate, query, nowMs, fallbackMs) * (1 + NOISE * this._random())
      if (wait < bestWait) {
        bestWait = wait
        best = candidate
      }
    }
    if (prefixHome !== undefined && expectedWait(prefixHome, query, nowMs, fallbackMs) <= bestWait * (1 + AFFINITY_SLACK)) {
      return prefixHome
    }
    return best
  }

  private _sample (candidates: readonly Upstream[]): readonly Upstream[] {
    if (candidates.length <= MAX_COMPARED) {
      return candidates
    }
    const first = Math.floor(this._random() * candidates.length)
    const second = Math.floor(this._random() * (candidates.length - 1))
    return [candidates[first]!, candidates[second >= first ? second + 1 : second]!]
  }
}

/** Time of the request itself, and its part of the work that the upstream holds already. */
function expectedWait (upstream: Upstream, query: BalancerQuery, nowMs: number, fallbackMs: number): number {
  const unitMs = unitTime(upstream, query, nowMs) ?? fallbackMs
  const parallel = Math.max(1, upstream.load?.capacity ?? upstream.limit)
  const others = Math.max(0, estimateOutstanding(upstream, nowMs) - upstream.outstanding)
  const serviceMs = unitMs * query.units
  return serviceMs + (others * serviceMs + ownWork(upstream, query, serviceMs, nowMs)) / parallel
}

/** Long requests in flight weigh by their own time: a short request behind them waits that long. */
function ownWork (upstream: Upstream, query: BalancerQuery, serviceMs: number, nowMs: number): number {
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

function unitTime (upstream: Upstream, query: BalancerQuery, nowMs: number): number | undefined {
  return upstream.times?.estimate(query.size, nowMs, upstream.inFlight ?? [])
}

/** An upstream that was never measured is taken to be as fast as the fastest, so that it is tried. */
function leastKnownUnitTime (candidates: readonly Upstream[], query: BalancerQuery, nowMs: number): number {
  let leastMs = Infinity
  for (const candidate of candidates) {
    leastMs = Math.min(leastMs, unitTime(candidate, query, nowMs) ?? Infinity)
  }
  return Number.isFinite(leastMs) ? leastMs : 1
}
