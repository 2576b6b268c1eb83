// Headers of one connection (RFC 9110, section 7.6.1), and those that this system sets itself.
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'host', 'expect'])
const OWN_HEADERS = new Set(['authorization', 'x-request-id', 'x-deadline-ms'])

/** Headers that are passed on: neither those of the connection nor those that concern this system only. */
export function filterHeaders (headers: Iterable<[string, string]>): Record<string, string> {
  const entries = [...headers].map(([name, value]): [string, string] => [name.toLowerCase(), value])
  const named = entries.filter(([name]) => name === 'connection').flatMap(([, value]) => value.split(',').map(item => item.trim().toLowerCase()))
  return Object.fromEntries(entries.filter(([name]) => !CONNECTION_HEADERS.has(name) && !OWN_HEADERS.has(name) && !named.includes(name)))
}
