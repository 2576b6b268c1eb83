import type { ClientRequest } from './ClientRequest.js'
import type { ListenerResponse } from './ListenerResponse.js'

/** The first request without a response on its connection: with its complete body, or with the response that rejects it. */
export type ReceivedRequest =
  { request: ClientRequest, body: Uint8Array, rejection?: undefined } |
  { request: ClientRequest, body?: undefined, rejection: ListenerResponse }
