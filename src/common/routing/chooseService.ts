import type { Route } from './Route.js'

/** Chooses a service of a route by weight; `fraction` is between 0 and 1. */
export function chooseService (route: Route, fraction: number): string | undefined {
  const total = route.services.reduce((sum, service) => sum + service.weight, 0)
  let left = fraction * total
  for (const service of route.services) {
    left -= service.weight
    if (left < 0) return service.name
  }
  return route.services.at(-1)?.name
}
