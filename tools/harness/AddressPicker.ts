import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:net'

// Below the range of ephemeral ports, from which the system assigns ports to outgoing connections, so that a
// picked port stays free until its process binds it, and also while the process restarts.
const FIRST_PORT = 10_000
const PORT_COUNT = 20_000
/** The only port of the range that the Fetch standard blocks, so `fetch` refuses it although it can be bound. */
const BLOCKED_PORT = 10_080

/** Picks loopback addresses in turn, beginning `offset` ports after the first of the range. */
export class AddressPicker {
  private _nextOffset: number

  constructor (offset: number) {
    this._nextOffset = offset % PORT_COUNT
  }

  /** Picks an address `127.0.0.1:<port>` whose port is free for TCP and UDP, and which `fetch` accepts. */
  async pick (): Promise<string> {
    for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
      const port = FIRST_PORT + this._nextOffset
      this._nextOffset = (this._nextOffset + 1) % PORT_COUNT
      if (port !== BLOCKED_PORT && await isFree(port)) return `127.0.0.1:${port}`
    }
    throw new Error('no free port')
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const socket = createSocket('udp4')
  try {
    server.listen(port, '127.0.0.1')
    await once(server, 'listening')
    socket.bind(port, '127.0.0.1')
    await once(socket, 'listening')
    return true
  } catch {
    return false
  } finally {
    server.close()
    socket.close()
  }
}
