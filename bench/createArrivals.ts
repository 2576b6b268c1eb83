import type { Arrival } from './Arrival.js'

/** Poisson arrivals of one kind over a duration; `make` gives each its content. */
export function createArrivals (random: () => number, perSecond: number, durationMs: number, make: (index: number) => Omit<Arrival, 'atMs'>): Arrival[] {
  const list: Arrival[] = []
  let atMs = 0
  for (;;) {
    atMs -= Math.log(1 - random()) * 1000 / perSecond
    if (atMs >= durationMs) return list
    list.push({ atMs, ...make(list.length) })
  }
}
