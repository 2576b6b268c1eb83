import { z } from 'zod'
import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { MembershipServer } from './MembershipServer.js'

const options = readOptions('membership', {
  listen: listenAddressSchema,
  lagMs: z.coerce.number().min(0).default(1000)
})
const membership = new MembershipServer(options.lagMs)
const { address } = await startServer(membership.app, options.listen)
announceReady(address)
