import { z } from 'zod'
import { addressListSchema } from '../common/addressListSchema.js'
import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { LoadBalancer } from './LoadBalancer.js'

const options = readOptions('balancer', {
  /** Address of the HTTP control interface. */
  listen: listenAddressSchema,
  /** Address that callers connect to over TCP. */
  front: listenAddressSchema,
  targets: addressListSchema,
  lagMs: z.coerce.number().min(0).default(2000)
})
const balancer = new LoadBalancer(options.targets, options.lagMs)
await balancer.listen(options.front)
const { address } = await startServer(balancer.app, options.listen)
announceReady(address)
