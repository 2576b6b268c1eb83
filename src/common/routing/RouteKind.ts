/** How the requests of a route may be retried: `once` requests run at most once, `idempotent` ones and batch items may run again. */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'batch'
