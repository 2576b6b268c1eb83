/** A whole answer of an upstream. */
export interface UpstreamResponse {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}
