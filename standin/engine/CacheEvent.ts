/** A change of the prefix cache, as `GET /v1/cache-events` answers it. */
export interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted'
  prefix_hash: string
}
