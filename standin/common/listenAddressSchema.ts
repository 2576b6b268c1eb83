import { z } from 'zod'

/** Address `ip:port` to listen on; port 0 selects a free port. */
export const listenAddressSchema = z.string().regex(/^[\d.]+:\d+$/, 'must be ip:port').default('127.0.0.1:0')
