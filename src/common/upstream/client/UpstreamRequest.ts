/** An HTTP request to an upstream. */
export interface UpstreamRequest {
  requestId: string
  method: string
  /** Path with query, starting with `/`. */
  path: string
  headers: Record<string, string>
  body?: Uint8Array
  /** `performance.now()` by which the complete response must have arrived. */
  deadlineAtMs: number
}
