import type { IncomingMessage } from 'node:http'
import type { ListenerRequest } from './ListenerRequest.js'

/** Converts a request that has been received as a whole. `signal` aborts when the client disconnects. */
export function toListenerRequest (incoming: IncomingMessage, body: Buffer, arrivedAtMs: number, signal: AbortSignal): ListenerRequest {
  const target = incoming.url ?? '/'
  const queryIndex = target.indexOf('?')
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return {
    method: incoming.method ?? 'GET',
    target,
    path: queryIndex < 0 ? target : target.slice(0, queryIndex),
    query: new URLSearchParams(queryIndex < 0 ? '' : target.slice(queryIndex + 1)),
    host: headers['host'] ?? '',
    headers,
    body,
    arrivedAtMs,
    signal
  }
}
