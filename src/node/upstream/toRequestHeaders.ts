import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import { hopByHopHeaders } from './hopByHopHeaders.js'
import type { UpstreamProtocol } from './UpstreamProtocol.js'

/** Headers that undici sets itself or does not implement. */
const CLIENT_MANAGED_HEADERS = new Set(['content-length', 'expect'])

/** Returns the headers to send: those of the request without hop-by-hop headers, plus the request id. */
export function toRequestHeaders (request: UpstreamRequest, protocol: UpstreamProtocol): Record<string, string> {
  const connectionOptions = parseConnectionOptions(request.headers)
  const headers: Record<string, string> = { [protocol.requestIdHeader]: request.requestId }
  for (const [name, value] of Object.entries(request.headers)) {
    const key = name.toLowerCase()
    if (key === protocol.requestIdHeader || (key === 'host' && !protocol.forwardsHost)) continue
    if (!hopByHopHeaders.has(key) && !CLIENT_MANAGED_HEADERS.has(key) && !connectionOptions.has(key)) {
      headers[key] = value
    }
  }
  return headers
}

function parseConnectionOptions (headers: Record<string, string>): Set<string> {
  const options = new Set<string>()
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== 'connection') continue
    for (const option of value.split(',')) {
      options.add(option.trim().toLowerCase())
    }
  }
  return options
}
