import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:net'

// Below the range of ephemeral ports, from which the system assigns ports to outgoing connections, so that a
// picked port stays free until its process binds it, and also while the process restarts.
const FIRST_PORT = 10_000
const PORT_COUNT = 20_000
// Test processes that run at the same time have similar pids; the multiplier keeps their port ranges apart.
const PORTS_PER_PID = 1009

let nextOffset = process.pid * PORTS_PER_PID % PORT_COUNT

/** Picks a loopback address `127.0.0.1:<port>` whose port is free for TCP and UDP. */
export async function pickAddress (): Promise<string> {
  for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
    const port = FIRST_PORT + nextOffset
    nextOffset = (nextOffset + 1) % PORT_COUNT
    if (await isFree(port)) return `127.0.0.1:${port}`
  }
  throw new Error('no free port')
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
