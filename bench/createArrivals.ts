import type { Arrival } from './Arrival.js'

/** Generates Poisson arrivals over a duration; `createRequest` creates the request of the arrival with an index. */
export function createArrivals (random: () => number, perSecond: number, durationMs: number, createRequest: (index: number) => Omit<Arrival, 'atMs'>): Arrival[] {
  const arrivals: Arrival[] = []
  let atMs = 0
  for (;;) {
    atMs -= Math.log(1 - random()) * 1000 / perSecond
    if (atMs >= durationMs) return arrivals
    arrivals.push({ atMs, ...createRequest(arrivals.length) })
  }
}
