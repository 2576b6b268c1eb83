import { once } from 'node:events'
import type { AddressInfo, Server } from 'node:net'
import { formatAddress } from './formatAddress.js'
import { parseAddress } from './parseAddress.js'

/** Starts a server at `ip:port` and returns the bound address; rejects when the address is in use. */
export async function listenAt (server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address)
  server.listen(port, host)
  await once(server, 'listening')
  const bound = server.address() as AddressInfo
  return formatAddress(bound.address, bound.port)
}
