import { z } from 'zod'

const MAX_PORT = 65_535
const IPV4 = z.ipv4()
const IPV6 = z.ipv6()

/** Address as `ip:port` or `[ipv6]:port`. Host names are rejected, so that nothing depends on a name resolver. */
export const ipAddressSchema = z.string().refine(isIpAndPort, 'must be ip:port with an IP address')

function isIpAndPort (value: string): boolean {
  const match = /^(?:\[(.+)\]|([^:[\]]+)):(\d{1,5})$/.exec(value)
  if (match === null || Number(match[3]) > MAX_PORT) return false
  return match[1] === undefined ? IPV4.safeParse(match[2]).success : IPV6.safeParse(match[1]).success
}
