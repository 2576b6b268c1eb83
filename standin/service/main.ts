import { z } from 'zod'
import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { ServiceServer } from './ServiceServer.js'

const options = readOptions('service', {
  listen: listenAddressSchema,
  id: z.coerce.string().default('service'),
  capacity: z.coerce.number().int().min(1).default(16),
  serviceTimeMs: z.coerce.number().min(0).default(10),
  loadLagMs: z.coerce.number().min(0).default(500)
})
const service = new ServiceServer(options)
const { address } = await startServer(service.app, options.listen)
announceReady(address)
