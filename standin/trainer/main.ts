import { z } from 'zod'
import { addressListSchema } from '../common/addressListSchema.js'
import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { TrainerServer } from './TrainerServer.js'

const count = z.coerce.number().int().min(0)
const options = readOptions('trainer', {
  listen: listenAddressSchema,
  organisation: z.coerce.string(),
  trainer: z.coerce.string(),
  token: z.coerce.string(),
  addresses: addressListSchema,
  weights: z.string().default(''),
  weightsEveryMs: count.default(0),
  steps: count.default(0),
  firstStep: count.default(0),
  ahead: count.default(0),
  groups: count.min(1).default(4),
  samples: count.min(1).default(4),
  maxTokens: count.min(1).default(64),
  prompt: z.coerce.string().default('step {step} group {group} len=pareto:16'),
  trainMs: count.default(50),
  waitMs: count.default(2000),
  maxGroupsPerRead: count.min(1).default(16),
  firstCursor: z.coerce.number().int().default(-1),
  version: count.default(0)
})
const trainer = new TrainerServer(options)
const { address } = await startServer(trainer.app, options.listen)
announceReady(address)
await trainer.run()
