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
  let callMs: number
  let deadlineMs: number
  let otherWork: number
  let flushed: boolean
  let peers: any
  const fakes = (registry: IServiceRegistry): RegisteredServices => {
    peers = registry.get(peerRegistryId)
    return registerFakes(registry, { callDurationMs: () => callMs, deadlineMs, otherInFlight: () => otherWork, onFlush: () => { flushed = true } })
  }
  const start = async (): Promise<void> => {
    entry = new Entry(settings, logger, fakes)
    url = `http://${await entry.start()}`
  }
  const call = async (): Promise<string> => {
    const response = await fetch(`${url}/v1/services/order-app/x`, { headers: { authorization: 'Bearer token' } })
    return `${response.status} ${await response.text()}`
  }
  beforeEach(() => { callMs = 0; deadlineMs = 5000; otherWork = 0; flushed = false })
  afterEach(() => entry.dispose())

  it('starts, is ready and serves', async () => {
    await start()
    expect((await fetch(`${url}/readyz`)).status).toEqual(200)
    expect(await call()).toEqual('200 done')
  })

  it('rejects the start when an address is taken', async () => {
    await start()
    const taken = { ...settings, listenAddress: url.replace('http://', '') }
    const second = new Entry(taken, logger, fakes)
    await expect(second.start()).toBeRejectedWith('EADDRINUSE')
    second.dispose()
  })

  it('drains: serves during the notice, then finishes what is in flight and refuses connections', async () => {
    callMs = 500
    await start()
    const running = call()
    await sleep(20)
    const drained = entry.drain()
    expect(peers.liveIds()).toEqual([])
    expect((await fetch(`${url}/readyz`)).status).toEqual(503)
    const late = call()
    await sleep(250)
    await expect(fetch(`${url}/livez`)).toBeRejectedWith('fetch failed')
    expect(await drained).toEqual(true)
    // What is still open now would be cut off.
    entry.dispose()
    expect([await running, await late]).toEqual(['200 done', '200 done'])
    expect(flushed).toEqual(true)
  })

  // A balancer on a busy host sends to a stopping entry for longer than the notice; closing the listener resets its connections.
  it('serves beyond the notice while callers keep connecting, and not without end', async () => {
    callMs = 10
    await start()
    const startedAtMs = performance.now()
    const drained = entry.drain()
    const answers: string[] = []
    while (performance.now() - startedAtMs < 330) {
      answers.push(await call())
      await sleep(5)
    }
    expect(new Set(answers)).toEqual(new Set(['200 done']))
    await drained
    expect(performance.now() - startedAtMs).toBeLessThan(1000)
    await expect(fetch(`${url}/livez`)).toBeRejectedWith('fetch failed')
  })

  it('does not wait for idle connections and waits for other work', async () => {
    otherWork = 1
    await start()
    const { host, port } = parseAddress(url.replace('http://', ''))
    const idle = connect(port, host)
    await sleep(20)
    let isDrained = false
    const drained = entry.drain().then(result => { isDrained = result; return result })
    await sleep(300)
    expect(isDrained).toEqual(false)
    otherWork = 0
    expect(await drained).toEqual(true)
    idle.destroy()
  })

  it('stops at the limit when work never ends, never below the longest deadline', async () => {
    otherWork = 1
    deadlineMs = 400
    await start()
    const startedAtMs = performance.now()
    expect(await entry.drain()).toEqual(false)
    expect(performance.now() - startedAtMs).toBeGreaterThanOrEqual(545)
  })
})
