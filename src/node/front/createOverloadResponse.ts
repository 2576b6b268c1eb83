import type { ListenerResponse } from './ListenerResponse.js'

const OVERLOAD_RETRY_AFTER_S = '0.3'

/** Creates the response to a request that an entry has no room for; the request has not run. */
export function createOverloadResponse (headers: Record<string, string> = {}): ListenerResponse {
  return { status: 503, headers: { ...headers, 'retry-after': OVERLOAD_RETRY_AFTER_S } }
}
