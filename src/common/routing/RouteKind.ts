/** Determines which requests may be retried: `once` requests run at most once, batch items may run again. */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'batch'
