import { once } from 'node:events'
import type { AddressInfo, Server } from 'node:net'
import { parseAddress } from './parseAddress.js'

/** Starts listening with a TCP server and resolves with its address `ip:port`. */
export async function listenTcp (server: Server, listen: string): Promise<string> {
  const { host, port } = parseAddress(listen)
  server.listen(port, host)
  await once(server, 'listening')
  return `${host}:${(server.address() as AddressInfo).port}`
}
