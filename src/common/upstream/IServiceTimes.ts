import type { InFlightRequest } from './InFlightRequest.js'

/** Time per unit of work on one upstream, by size of work. All times in milliseconds. */
export interface IServiceTimes {
  /** A request completed. */
  record (size: 'short' | 'long', unitMs: number, startedAtMs: number, nowMs: number): void
  /** A request was given up after this time, so that its whole time is longer. */
  recordLowerBound (size: 'short' | 'long', unitMs: number, nowMs: number): void
  /** Expected time of a new request, from completed ones and from the age of those in flight. */
  estimate (size: 'short' | 'long', nowMs: number, inFlight: Iterable<InFlightRequest>): number | undefined
  /** Smoothed time of completed requests. */
  smoothed (size: 'short' | 'long'): number | undefined
  /** Shortest single time of the recent past. */
  shortest (size: 'short' | 'long'): number | undefined
  /** Lowest smoothed time of the recent past. */
  baseline (size: 'short' | 'long'): number | undefined
}
