import type { InFlightRequest } from './InFlightRequest.js'
import type { IServiceTimes } from './IServiceTimes.js'

/** Weight of a completed request in the fast estimate that places requests. */
const FAST_WEIGHT = 0.25
/** Weight in the slow estimate that drives the concurrency limit; single long requests hardly move it. */
const SLOW_WEIGHT = 0.1
/** Requests before the slow estimate may lower the best one. */
const MIN_SAMPLES_FOR_BEST = 10
/** Time constant with which the best time rises to the present one, so that an old best is forgotten. */
const BEST_RISE_MS = 60_000
/** Bounds the effect of one request that runs many times longer than others. */
const MAX_SAMPLE_FACTOR = 5
const MAX_AGE_FACTOR = 20
/** Completed requests that the estimate counts as, against requests in flight that exceed it. */
const PRIOR_REQUESTS = 1.5
/** Time constant with which an idle upstream's estimate returns to its best, so that it is tried again. */
const IDLE_RELAX_MS = 5_000

interface SizeTimes {
  fastMs: number
  slowMs: number
  bestMs: number
  leastMs: number
  samples: number
  updatedAtMs: number
  /** Latest start of a completed request. */
  overtakenBeforeMs: number
}

/** Exponentially weighted time estimates that also use the age of requests in flight. */
export class ServiceTimes implements IServiceTimes {
  private readonly _sizes: { short?: SizeTimes, long?: SizeTimes } = {}

  record (size: 'short' | 'long', unitMs: number, startedAtMs: number, nowMs: number): void {
    const times = this._sizes[size]
    if (times === undefined) {
      this._sizes[size] = {
        fastMs: unitMs,
        slowMs: unitMs,
        bestMs: unitMs,
        leastMs: unitMs,
        samples: 1,
        updatedAtMs: nowMs,
        overtakenBeforeMs: startedAtMs
      }
      return
    }
    times.overtakenBeforeMs = Math.max(times.overtakenBeforeMs, startedAtMs)
    this._mix(times, unitMs, nowMs)
  }

  recordAtLeast (size: 'short' | 'long', unitMs: number, nowMs: number): void {
    const times = this._sizes[size]
    if (times !== undefined && unitMs > times.fastMs) {
      this._mix(times, unitMs, nowMs)
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
      if (request.startedAtMs < times.overtakenBeforeMs) continue
      const ageMs = (nowMs - request.startedAtMs) / request.units
      if (ageMs > times.fastMs) {
        sumMs += Math.min(ageMs, times.fastMs * MAX_AGE_FACTOR)
        count++
      }
    }
    if (active === 0) {
      const idle = Math.exp(-Math.max(0, nowMs - times.updatedAtMs) / IDLE_RELAX_MS)
      return Math.min(times.fastMs, times.bestMs + (times.fastMs - times.bestMs) * idle)
    }
    return (times.fastMs * PRIOR_REQUESTS + sumMs) / (PRIOR_REQUESTS + count)
  }

  smoothed (size: 'short' | 'long'): number | undefined {
    return this._sizes[size]?.slowMs
  }

  least (size: 'short' | 'long'): number | undefined {
    return this._sizes[size]?.leastMs
  }

  best (size: 'short' | 'long'): number | undefined {
    return this._sizes[size]?.bestMs
  }

  private _mix (times: SizeTimes, unitMs: number, nowMs: number): void {
    const rise = 1 - Math.exp(-Math.max(0, nowMs - times.updatedAtMs) / BEST_RISE_MS)
    times.fastMs += FAST_WEIGHT * (Math.min(unitMs, times.fastMs * MAX_SAMPLE_FACTOR) - times.fastMs)
    times.slowMs += SLOW_WEIGHT * (Math.min(unitMs, times.slowMs * MAX_SAMPLE_FACTOR) - times.slowMs)
    times.bestMs += Math.max(0, times.slowMs - times.bestMs) * rise
    times.leastMs = Math.min(unitMs, times.leastMs + Math.max(0, times.slowMs - times.leastMs) * rise)
    times.samples++
    times.updatedAtMs = nowMs
    if (times.samples >= MIN_SAMPLES_FOR_BEST) {
      times.bestMs = Math.min(times.bestMs, times.slowMs)
    } else {
      times.bestMs = times.slowMs
    }
  }
}
