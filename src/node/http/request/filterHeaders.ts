// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that hyssopvalve sets itself for each connection.
const PER_CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'host', 'expect'])
// Headers that are meant for hyssopvalve only.
const INTERNAL_HEADERS = new Set(['authorization', 'x-request-id', 'x-deadline-ms'])

/** Returns the end-to-end headers to forward, without those that are meant for hyssopvalve only. */
export function filterHeaders (headers: Iterable<[string, string]>): Record<string, string> {
  const entries = [...headers].map(([name, value]): [string, string] => [name.toLowerCase(), value])
  const connectionOptions = entries.filter(([name]) => name === 'connection').flatMap(([, value]) => value.split(',').map(item => item.trim().toLowerCase()))
  return Object.fromEntries(entries.filter(([name]) => !PER_CONNECTION_HEADERS.has(name) && !INTERNAL_HEADERS.has(name) && !connectionOptions.includes(name)))
}
