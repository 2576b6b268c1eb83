import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import { hopByHopHeaders } from './hopByHopHeaders.js'
import type { IUpstreamProtocol } from './IUpstreamProtocol.js'

/** Headers that the client library sets by itself, or that it does not implement. */
const CLIENT_HEADERS = new Set(['content-length', 'expect'])

/** Headers to send: hop-by-hop headers are dropped and the request id is added. */
export function toRequestHeaders (request: UpstreamRequest, dialect: IUpstreamProtocol): Record<string, string> {
  const listed = connectionOptions(request.headers)
  const headers: Record<string, string> = { [dialect.requestIdHeader]: request.requestId }
  for (const [name, value] of Object.entries(request.headers)) {
    const key = name.toLowerCase()
    if (key === dialect.requestIdHeader || (key === 'host' && !dialect.forwardsHost)) continue
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
