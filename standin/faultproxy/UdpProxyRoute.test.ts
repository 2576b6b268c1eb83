import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { parseAddress } from '../common/parseAddress.js'
import { routeFaultsSchema } from './routeFaultsSchema.js'
import { UdpProxyRoute } from './UdpProxyRoute.js'

// Aborts a run that would otherwise hang.
const TIMEOUT_MS = 60_000

describe('fault proxy UDP route', { timeout: TIMEOUT_MS }, () => {
  it('drops every n-th datagram and delivers the others', async () => {
    const target = createSocket('udp4')
    const sender = createSocket('udp4')
    const received: string[] = []
    target.on('message', data => received.push(data.toString()))
    target.bind(0, '127.0.0.1')
    await once(target, 'listening')
    const route = new UdpProxyRoute(`127.0.0.1:${target.address().port}`)
    await route.listen('127.0.0.1:0')
    await route.setFaults(routeFaultsSchema.parse({ lose_every: 2 }))
    const { host, port } = parseAddress(route.address)
    for (const text of ['a', 'b', 'c', 'd', 'e']) sender.send(text, port, host)
    while (received.length < 3) await sleep(5)
    expect(received).toEqual(['a', 'c', 'e'])
    target.close()
    sender.close()
    route.dispose()
  })
})
