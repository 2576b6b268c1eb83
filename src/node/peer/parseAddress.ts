/** Splits `ip:port` or `[ipv6]:port`, which the settings have already validated. */
export function parseAddress (address: string): { host: string, port: number } {
  const colonIndex = address.lastIndexOf(':')
  return { host: address.slice(0, colonIndex).replace(/^\[|\]$/g, ''), port: Number(address.slice(colonIndex + 1)) }
}
