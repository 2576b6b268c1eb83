import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createArrivals } from './createArrivals.js'
import { createRandom } from './createRandom.js'
import { summariseLatencies } from './summariseLatencies.js'
import { createLookup } from './createLookup.js'
import { runLoad } from './runLoad.js'

const STALL_MS = 300

describe('runLoad', () => {
  // Guards against coordinated omission: requests that were due during a stall must show it.
  it('counts latency from the scheduled time when sending is held up', async () => {
    let isFirst = true
    const server = createServer((_request, response) => {
      const endMs = performance.now() + (isFirst ? STALL_MS : 0)
      isFirst = false
      while (performance.now() < endMs) {
        // Blocks the process, and with it the sending of the requests that become due.
      }
      response.end('x')
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    try {
      const { port } = server.address() as AddressInfo
      const load = Array.from({ length: 20 }, (_, index) => ({ atMs: index * 10, ...createLookup(index) }))
      const outcomes = await runLoad(`127.0.0.1:${port}`, load)
      expect(outcomes.map(({ isOk }) => isOk)).toEqual(new Array(20).fill(true))
      expect(outcomes.filter(({ latencyMs }) => latencyMs > STALL_MS / 3).length > 15).toEqual(true)
    } finally {
      server.close()
    }
  })

  it('draws the same arrivals for every variant of a round and others for the next round', () => {
    const times = (seed: number, round: number) => createArrivals(createRandom(seed, round), 100, 1000, createLookup).map(({ atMs }) => atMs)
    expect(times(1, 1)).toEqual(times(1, 1))
    expect(times(1, 1)[0] === times(1, 2)[0]).toEqual(false)
    expect(Math.abs(times(3, 1).length - 100) < 40).toEqual(true)
  })

  it('leaves failed requests out of the percentiles and reports their part', () => {
    const outcome = (latencyMs: number, isOk: boolean) => ({ label: 'a', isOk, status: 0, latencyMs, firstByteMs: 0 })
    const figures = summariseLatencies([outcome(10, true), outcome(1000, false)])
    expect([Math.round(figures['a p99 ms']!), figures['a failed %']]).toEqual([10, 50])
  })
})
