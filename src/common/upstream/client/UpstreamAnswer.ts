/** A whole answer of an upstream. */
export interface UpstreamAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}
