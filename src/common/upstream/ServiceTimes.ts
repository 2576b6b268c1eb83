import type { InFlightRequest } from './InFlightRequest.js'
import type { IServiceTimes } from './IServiceTimes.js'

/** Weight of a completed request in the fast moving average, which is used for balancing. */
const FAST_AVERAGE_WEIGHT = 0.25
/** Weight in the slow moving average, which drives the concurrency limit; a single long request hardly changes it. */
const SLOW_AVERAGE_WEIGHT = 0.1
/** Number of requests before which the baseline simply follows the slow average. */
const MIN_REQUESTS_FOR_BASELINE = 10
/** Time constant with which the baseline rises to the slow average, so that an outdated low value fades. */
const BASELINE_RISE_MS = 60_000
/** Bounds the effect of a request that takes many times longer than the average. */
const MAX_OUTLIER_FACTOR = 5
/** Bounds the age at which a request in flight counts, as a multiple of the fast average. */
const MAX_AGE_FACTOR = 20
/** Weight of the fast average, as a number of requests, against requests in flight that already exceed it. */
const PRIOR_REQUESTS = 1.5
/** Time constant with which the estimate of an idle upstream returns to its baseline, so that it is tried again. */
const IDLE_DECAY_MS = 5_000

interface SizeTimes {
  fastAverageMs: number
  slowAverageMs: number
  baselineMs: number
  shortestMs: number
  requestCount: number
  updatedAtMs: number
  /** Latest start time of a completed request. */
  lastCompletedStartAtMs: number
}

/** Exponential moving averages of the time per unit; the estimate also uses the age of requests in flight. */
export class ServiceTimes implements IServiceTimes {
  private readonly _sizes: { short?: SizeTimes, long?: SizeTimes } = {}

  record (size: 'short' | 'long', unitMs: number, startedAtMs: number, nowMs: number): void {
    const times = this._sizes[size]
    if (times === undefined) {
      this._sizes[size] = {
        fastAverageMs: unitMs,
        slowAverageMs: unitMs,
        baselineMs: unitMs,
        shortestMs: unitMs,
        requestCount: 1,
        updatedAtMs: nowMs,
        lastCompletedStartAtMs: startedAtMs
      }
      return
    }
    times.lastCompletedStartAtMs = Math.max(times.lastCompletedStartAtMs, startedAtMs)
    this._update(times, unitMs, nowMs)
  }

  recordLowerBound (size: 'short' | 'long', unitMs: number, nowMs: number): void {
    const times = this._sizes[size]
    if (times !== undefined && unitMs > times.fastAverageMs) {
      this._update(times, unitMs, nowMs)
    }
  }

  estimate (size: 'short' | 'long', nowMs: number, inFlight: Iterable<InFlightRequest>): number | undefined {
    const times = this._sizes[size]
    if (times === undefined) {
      return undefined
    }
    let sumMs = 0
    let exceedingCount = 0
    let inFlightCount = 0
    for (const request of inFlight) {
      if (request.size !== size) continue
      inFlightCount++
      // A request that later ones have overtaken is merely long and says nothing about the upstream.
      if (request.startedAtMs < times.lastCompletedStartAtMs) continue
      const ageMs = (nowMs - request.startedAtMs) / request.units
      if (ageMs > times.fastAverageMs) {
        sumMs += Math.min(ageMs, times.fastAverageMs * MAX_AGE_FACTOR)
        exceedingCount++
      }
    }
    if (inFlightCount === 0) {
      const weight = Math.exp(-Math.max(0, nowMs - times.updatedAtMs) / IDLE_DECAY_MS)
      return Math.min(times.fastAverageMs, times.baselineMs + (times.fastAverageMs - times.baselineMs) * weight)
    }
    return (times.fastAverageMs * PRIOR_REQUESTS + sumMs) / (PRIOR_REQUESTS + exceedingCount)
  }

  smoothed (size: 'short' | 'long'): number | undefined {
    return this._sizes[size]?.slowAverageMs
  }

  shortest (size: 'short' | 'long'): number | undefined {
    return this._sizes[size]?.shortestMs
  }

  baseline (size: 'short' | 'long'): number | undefined {
    return this._sizes[size]?.baselineMs
  }

  private _update (times: SizeTimes, unitMs: number, nowMs: number): void {
    const riseFraction = 1 - Math.exp(-Math.max(0, nowMs - times.updatedAtMs) / BASELINE_RISE_MS)
    times.fastAverageMs += FAST_AVERAGE_WEIGHT * (Math.min(unitMs, times.fastAverageMs * MAX_OUTLIER_FACTOR) - times.fastAverageMs)
    times.slowAverageMs += SLOW_AVERAGE_WEIGHT * (Math.min(unitMs, times.slowAverageMs * MAX_OUTLIER_FACTOR) - times.slowAverageMs)
    times.baselineMs += Math.max(0, times.slowAverageMs - times.baselineMs) * riseFraction
    times.shortestMs = Math.min(unitMs, times.shortestMs + Math.max(0, times.slowAverageMs - times.shortestMs) * riseFraction)
    times.requestCount++
    times.updatedAtMs = nowMs
    if (times.requestCount >= MIN_REQUESTS_FOR_BASELINE) {
      times.baselineMs = Math.min(times.baselineMs, times.slowAverageMs)
    } else {
      times.baselineMs = times.slowAverageMs
    }
  }
}
