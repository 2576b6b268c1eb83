import { serve, type ServerType } from '@hono/node-server'
import type { Hono } from 'hono'
import { parseAddress } from './parseAddress.js'
import type { StandInEnv } from './StandInEnv.js'

// Longer than the idle timeout of the clients' connection pools, so that a stand-in does not close
// a connection at the moment when a client reuses it.
const KEEP_ALIVE_MS = 120_000

/** Starts an HTTP server and resolves with the server and its address `ip:port`. */
export async function startServer (app: Hono<StandInEnv>, listen: string): Promise<{ server: ServerType, address: string }> {
  const { host, port } = parseAddress(listen)
  return await new Promise((resolve, reject) => {
    const server = serve({
      fetch: app.fetch,
      hostname: host,
      port,
      serverOptions: { keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }
    }, info => resolve({ server, address: `${host}:${info.port}` }))
    server.once('error', reject)
  })
}
