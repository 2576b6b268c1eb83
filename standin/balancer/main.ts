import { z } from 'zod'
import { addressList } from '../common/addressList.js'
import { announceReady } from '../common/announceReady.js'
import { listenAddress } from '../common/listenAddress.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { Balancer } from './Balancer.js'

const options = readOptions('balancer', {
  /** Control address (HTTP). */
  listen: listenAddress,
  /** Address that callers connect to (TCP). */
  front: listenAddress,
  targets: addressList,
  lagMs: z.coerce.number().min(0).default(2000)
})
const balancer = new Balancer(options.targets, options.lagMs)
await balancer.listen(options.front)
const { address } = await startServer(balancer.app, options.listen)
announceReady(address)
