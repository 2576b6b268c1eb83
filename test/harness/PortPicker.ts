import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:net'

// Below the range from which the system takes ports for outgoing connections, so that a picked port
// stays free until its process binds it.
const FIRST_PORT = 10_000
const PORT_COUNT = 20_000

/** Picks ports that are free for TCP and UDP on loopback. Test processes start at different ports. */
export class PortPicker {
  private _next = process.pid * 97 % PORT_COUNT

  /** An address `127.0.0.1:<port>`. */
  async pick (): Promise<string> {
    for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
      const port = FIRST_PORT + this._next
      this._next = (this._next + 1) % PORT_COUNT
      if (await isFree(port)) return `127.0.0.1:${port}`
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
