/** Formats an IP address and a port as `ip:port` or `[ipv6]:port`. */
export function formatAddress (host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
