/** Response to a request, with its complete body. */
export interface ListenerResponse {
  status: number
  headers?: Record<string, string>
  body?: Uint8Array | string
}
