import type { InFlightRequest } from './InFlightRequest.js'
import type { IServiceTimes } from './IServiceTimes.js'

/** Weight of a completed request in the fast estimate that places requests. */
const FAST_AVERAGE_WEIGHT = 0.25
/** Weight in the slow estimate that drives the concurrency limit; single long requests hardly move it. */
const SLOW_AVERAGE_WEIGHT = 0.1
/** Requests before the slow estimate may lower the best one. */
const MIN_REQUESTS_FOR_BASELINE = 10
/** Time constant with which the best time rises to the present one, so that an old best is forgotten. */
const BASELINE_RISE_MS = 60_000
/** Bounds the effect of one request that runs many times longer than others. */
const MAX_OUTLIER_FACTOR = 5
const MAX_AGE_FACTOR = 20
/** Completed requests that the estimate counts as, against requests in flight that exceed it. */
const PRIOR_REQUESTS = 1.5
/** Time constant with which an idle upstream's estimate returns to its best, so that it is tried again. */
const IDLE_DECAY_MS = 5_000

interface SizeTimes {
  fastAverageMs: number
  slowAverageMs: number
  baselineMs: number
  shortestMs: number
  requestCount: number
  updatedAtMs: number
  /** Latest start of a completed request. */
  lastCompletedStartAtMs: number
}

/** Exponentially weighted time estimates that also use the age of requests in flight. */
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
    let count = 0
    let active = 0
    for (const request of inFlight) {
      if (request.size !== size) continue
      active++
      // A request that later ones have overtaken is long itself and says nothing about the upstream.
      if (request.startedAtMs < times.lastCompletedStartAtMs) continue
      const ageMs = (nowMs - request.startedAtMs) / request.units
      if (ageMs > times.fastAverageMs) {
        sumMs += Math.min(ageMs, times.fastAverageMs * MAX_AGE_FACTOR)
        count++
      }
    }
    if (active === 0) {
      const idle = Math.exp(-Math.max(0, nowMs - times.updatedAtMs) / IDLE_DECAY_MS)
      return Math.min(times.fastAverageMs, times.baselineMs + (times.fastAverageMs - times.baselineMs) * idle)
    }
    return (times.fastAverageMs * PRIOR_REQUESTS + sumMs) / (PRIOR_REQUESTS + count)
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
    const rise = 1 - Math.exp(-Math.max(0, nowMs - times.updatedAtMs) / BASELINE_RISE_MS)
    times.fastAverageMs += FAST_AVERAGE_WEIGHT * (Math.min(unitMs, times.fastAverageMs * MAX_OUTLIER_FACTOR) - times.fastAverageMs)
    times.slowAverageMs += SLOW_AVERAGE_WEIGHT * (Math.min(unitMs, times.slowAverageMs * MAX_OUTLIER_FACTOR) - times.slowAverageMs)
    times.baselineMs += Math.max(0, times.slowAverageMs - times.baselineMs) * rise
    times.shortestMs = Math.min(unitMs, times.shortestMs + Math.max(0, times.slowAverageMs - times.shortestMs) * rise)
    times.requestCount++
    times.updatedAtMs = nowMs
    if (times.requestCount >= MIN_REQUESTS_FOR_BASELINE) {
      times.baselineMs = Math.min(times.baselineMs, times.slowAverageMs)
    } else {
      times.baselineMs = times.slowAverageMs
    }
  }
}
