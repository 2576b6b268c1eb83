/**
 * Kind of the requests of a route, which determines whether one that may have run is retried: `idempotent` requests
 * and batch items may run again, `once` and `stream` requests run at most once.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'batch'
