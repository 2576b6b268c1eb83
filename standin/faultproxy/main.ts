import { announceReady } from '../common/announceReady.js'
import { listenAddressSchema } from '../common/listenAddressSchema.js'
import { readOptions } from '../common/readOptions.js'
import { startServer } from '../common/startServer.js'
import { FaultProxy } from './FaultProxy.js'

const options = readOptions('faultproxy', { listen: listenAddressSchema })
const proxy = new FaultProxy()
const { address } = await startServer(proxy.app, options.listen)
announceReady(address)
