import { z } from 'zod'
import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { LogServer } from './LogServer.js'

const options = readOptions('log', {
  listen: listenAddressSchema,
  retentionMs: z.coerce.number().min(1).default(3_600_000),
  /** Appends per second over all streams; 0 means no limit. */
  appendRate: z.coerce.number().min(0).default(300)
})
const log = new LogServer(options.retentionMs, options.appendRate)
const { address } = await startServer(log.app, options.listen)
announceReady(address)
