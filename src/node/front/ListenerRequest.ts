/** One request, with its complete body. */
export interface ListenerRequest {
  method: string
  /** Path and query as sent. */
  target: string
  /** Path without query. */
  path: string
  query: URLSearchParams
  /** Value of the Host header. */
  host: string
  /** Header names are in lowercase. */
  headers: Record<string, string>
  body: Buffer
  /** Organisation of the authenticated caller; undefined on public routes and where none are configured. */
  organisation?: string
  /** `performance.now()` when the header section had been received. */
  arrivedAtMs: number
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}
