import type { Route } from '../../routing/Route.js'

/** Route and service of a reward call by the configuration in force. */
export interface RewardTarget { route: Route, service: string }
