import { z } from 'zod'
import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { WeightServer } from './WeightServer.js'

const options = readOptions('weights', {
  listen: listenAddressSchema,
  /** Loads per second; 0 means no limit. */
  loadRate: z.coerce.number().min(0).default(20),
  loadMs: z.coerce.number().min(0).default(50)
})
const weights = new WeightServer(options.loadRate, options.loadMs)
const { address } = await startServer(weights.app, options.listen)
announceReady(address)
