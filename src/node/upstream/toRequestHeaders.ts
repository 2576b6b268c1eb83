import type { UpstreamRequest } from '../../common/upstream/UpstreamRequest.js'
import { hopByHopHeaders } from './hopByHopHeaders.js'

/** Headers that the client library sets by itself, or that it does not implement. */
const CLIENT_HEADERS = new Set(['host', 'content-length', 'expect', 'x-request-id'])

/** Headers to send: hop-by-hop headers are dropped and the request id is added. */
export function toRequestHeaders (request: UpstreamRequest): Record<string, string> {
  const listed = connectionOptions(request.headers)
  const headers: Record<string, string> = { 'x-request-id': request.requestId }
  for (const [name, value] of Object.entries(request.headers)) {
    const key = name.toLowerCase()
    if (!hopByHopHeaders.has(key) && !CLIENT_HEADERS.has(key) && !listed.has(key)) {
      headers[key] = value
    }
  }
  return headers
}

function connectionOptions (headers: Record<string, string>): Set<string> {
  const options = new Set<string>()
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== 'connection') continue
    for (const option of value.split(',')) {
      options.add(option.trim().toLowerCase())
    }
  }
  return options
}
