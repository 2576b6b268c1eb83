import { z } from 'zod'
import { announceReady } from '../common/announceReady.js'
import { flagSchema } from '../common/flagSchema.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { EngineServer } from './EngineServer.js'

const count = z.coerce.number().min(0)
const options = readOptions('engine', {
  listen: listenAddressSchema,
  model: z.coerce.string(),
  weights: z.string().default(''),
  capacity: z.coerce.number().int().min(1).default(8),
  tokensPerSecond: z.coerce.number().positive().default(200),
  prefillTokensPerSecond: z.coerce.number().positive().default(5000),
  cacheBlocks: count.default(1024),
  cacheEventLagMs: count.default(500),
  cacheEventLoseEvery: count.default(20),
  loadLagMs: count.default(500),
  swapMs: count.default(100),
  checkFence: flagSchema.default(true)
})
const engine = new EngineServer(options)
const { address } = await startServer(engine.app, options.listen)
announceReady(address)
