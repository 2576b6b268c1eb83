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
  // Guards against coordinated omission: the latency of requests that were due during a stall must include the stall.
  it('measures latency from the scheduled send time when sending is delayed', async () => {
    let isFirst = true
    const server = createServer((_request, response) => {
      const endMs = performance.now() + (isFirst ? STALL_MS : 0)
      isFirst = false
      while (performance.now() < endMs) {
        // Blocks the event loop and thereby delays the requests that become due meanwhile.
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

  it('generates the same arrivals for every variant of a round and different ones for the next round', () => {
    const arrivalTimesMs = (seed: number, round: number) => createArrivals(createRandom(seed, round), 100, 1000, createLookup).map(({ atMs }) => atMs)
    expect(arrivalTimesMs(1, 1)).toEqual(arrivalTimesMs(1, 1))
    expect(arrivalTimesMs(1, 1)[0] === arrivalTimesMs(1, 2)[0]).toEqual(false)
    expect(Math.abs(arrivalTimesMs(3, 1).length - 100) < 40).toEqual(true)
  })

  it('excludes failed requests from the percentiles and reports their share', () => {
    const outcome = (latencyMs: number, isOk: boolean) => ({ label: 'a', isOk, status: 0, latencyMs, firstByteMs: 0 })
    const measurements = summariseLatencies([outcome(10, true), outcome(1000, false)])
    expect([Math.round(measurements['a p99 ms']!), measurements['a failed %']]).toEqual([10, 50])
  })
})
