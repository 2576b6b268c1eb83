import { z } from 'zod'

/** Option for an address `ip:port`; port 0 picks a free one. */
export const listenAddress = z.string().regex(/^[\d.]+:\d+$/, 'must be ip:port').default('127.0.0.1:0')
