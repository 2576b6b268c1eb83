/** One request of a caller, read whole. */
export interface ListenerRequest {
  method: string
  /** Path with query, as sent. */
  target: string
  /** Path without query. */
  path: string
  query: URLSearchParams
  host: string
  /** Names in lowercase. */
  headers: Record<string, string>
  body: Buffer
  arrivedAtMs: number
  /** Aborted when the caller has gone. */
  signal: AbortSignal
}
