import { afterEach, beforeEach, describe, it } from 'node:test'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import type { IServiceRegistry } from '../../common/kernel/IServiceRegistry.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import { parseAddress } from '../peer/parseAddress.js'
import { Entry } from './Entry.js'
import type { RegisteredServices } from './RegisteredServices.js'
import { createTestSettings } from './testing/createTestSettings.js'
import { registerFakes } from './testing/registerFakes.js'

const logger = { info () {}, warn () {}, error () {}, debug () {} }
const settings = createTestSettings('drain_notice_ms = 150\ndrain_limit_ms = 100')

describe('Entry', () => {
  let entry: Entry
  let url: string
  let callDurationMs: number
  let deadlineMs: number
  let otherInFlight: number
  let flushed: boolean
  let peers: any
  const registerServices = (registry: IServiceRegistry): RegisteredServices => {
    peers = registry.get(peerRegistryId)
    return registerFakes(registry, { callDurationMs: () => callDurationMs, deadlineMs, otherInFlight: () => otherInFlight, onFlush: () => { flushed = true } })
  }
  const start = async (): Promise<void> => {
    entry = new Entry(settings, logger, registerServices)
    url = `http://${await entry.start()}`
  }
  const call = async (): Promise<string> => {
    const response = await fetch(`${url}/v1/services/order-app/x`, { headers: { authorization: 'Bearer token' } })
    return `${response.status} ${await response.text()}`
  }
  beforeEach(() => { callDurationMs = 0; deadlineMs = 5000; otherInFlight = 0; flushed = false })
  afterEach(() => entry.dispose())

  it('starts, becomes ready and serves requests', async () => {
    await start()
    expect((await fetch(`${url}/readyz`)).status).toEqual(200)
    expect(await call()).toEqual('200 done')
  })

  it('rejects the start when an address is in use', async () => {
    await start()
    const conflictingSettings = { ...settings, listenAddress: url.replace('http://', '') }
    const second = new Entry(conflictingSettings, logger, registerServices)
    await expect(second.start()).toBeRejectedWith('EADDRINUSE')
    second.dispose()
  })

  it('serves during the drain notice, then finishes requests in flight and refuses connections', async () => {
    callDurationMs = 500
    await start()
    const runningCall = call()
    await sleep(20)
    const drained = entry.drain()
    expect(peers.liveIds()).toEqual([])
    expect((await fetch(`${url}/readyz`)).status).toEqual(503)
    const lateCall = call()
    await sleep(250)
    await expect(fetch(`${url}/livez`)).toBeRejectedWith('fetch failed')
    expect(await drained).toEqual(true)
    // Disposing aborts any request that is still in flight.
    entry.dispose()
    expect([await runningCall, await lateCall]).toEqual(['200 done', '200 done'])
    expect(flushed).toEqual(true)
  })

  // On a busy host a load balancer may keep sending to a draining entry after the notice. Closing the listener then
  // resets its connections.
  it('serves past the notice while callers keep connecting, for a limited time', async () => {
    callDurationMs = 10
    await start()
    const startedAtMs = performance.now()
    const drained = entry.drain()
    const responses: string[] = []
    while (performance.now() - startedAtMs < 330) {
      responses.push(await call())
      await sleep(5)
    }
    expect(new Set(responses)).toEqual(new Set(['200 done']))
    await drained
    expect(performance.now() - startedAtMs).toBeLessThan(1000)
    await expect(fetch(`${url}/livez`)).toBeRejectedWith('fetch failed')
  })

  it('waits for other work in flight but not for idle connections', async () => {
    otherInFlight = 1
    await start()
    const { host, port } = parseAddress(url.replace('http://', ''))
    const idle = connect(port, host)
    await sleep(20)
    let isDrained = false
    const drained = entry.drain().then(result => { isDrained = result; return result })
    await sleep(300)
    expect(isDrained).toEqual(false)
    otherInFlight = 0
    expect(await drained).toEqual(true)
    idle.destroy()
  })

  it('stops at the limit when work never ends, but not before the longest deadline', async () => {
    otherInFlight = 1
    deadlineMs = 400
    await start()
    const startedAtMs = performance.now()
    expect(await entry.drain()).toEqual(false)
    // Notice of 150 ms and deadline of 400 ms, with a tolerance of 5 ms.
    expect(performance.now() - startedAtMs).toBeGreaterThanOrEqual(545)
  })
})
