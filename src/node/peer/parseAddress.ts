/** Splits `ip:port` or `[ipv6]:port` that the settings have checked. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
