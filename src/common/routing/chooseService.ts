import type { Route } from './Route.js'

/** Chooses a service of a route by weight; `fraction`, between 0 and 1, is a position in the total weight. */
export function chooseService (route: Route, fraction: number): string | undefined {
  const totalWeight = route.services.reduce((sum, service) => sum + service.weight, 0)
  let remainingWeight = fraction * totalWeight
  for (const service of route.services) {
    remainingWeight -= service.weight
    if (remainingWeight < 0) return service.name
  }
  return route.services.at(-1)?.name
}
