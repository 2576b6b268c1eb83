/** A whole answer to a caller. */
export interface ListenerResponse {
  status: number
  headers?: Record<string, string>
  body?: Uint8Array | string
}
