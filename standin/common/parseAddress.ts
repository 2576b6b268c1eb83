/** Splits `ip:port` into host and port. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
