/** A change of the prefix cache, in the form that `GET /v1/cache-events` returns. */
export interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted'
  prefix_hash: string
}
