import type { InFlightRequest } from './InFlightRequest.js'

/** Estimates the time per unit of work on one upstream, separately for short and long requests. All times in milliseconds. */
export interface IServiceTimes {
  /** Records the time per unit of a completed request. */
  record (size: 'short' | 'long', unitMs: number, startedAtMs: number, nowMs: number): void
  /** Records a request that ended incomplete after this time per unit, so that its full time is longer. */
  recordLowerBound (size: 'short' | 'long', unitMs: number, nowMs: number): void
  /** Expected time per unit of a new request, from completed ones and from the age of those in flight. */
  estimate (size: 'short' | 'long', nowMs: number, inFlight: Iterable<InFlightRequest>): number | undefined
  /** Exponential moving average over completed requests; reacts slowly. */
  smoothed (size: 'short' | 'long'): number | undefined
  /** Shortest time of a single recent request. */
  shortest (size: 'short' | 'long'): number | undefined
  /** Lowest recent value of the smoothed time; the reference for detecting overload. */
  baseline (size: 'short' | 'long'): number | undefined
}
