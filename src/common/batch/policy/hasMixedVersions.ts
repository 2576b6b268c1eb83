import type { Route } from '../../routing/Route.js'
import type { ItemState } from '../record/ItemState.js'

/** Whether the output of an item comes from more versions than its route allows. */
export function hasMixedVersions ({ progress }: ItemState, route: Route): boolean {
  return route.isSingleVersion && progress.versions.length > 1
}
