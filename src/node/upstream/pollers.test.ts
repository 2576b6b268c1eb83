import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { UpstreamTable } from '../../common/upstream/UpstreamTable.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { LoadPoller } from './LoadPoller.js'
import { MembershipPoller } from './MembershipPoller.js'

const noop = { info () {}, warn () {}, error () {}, debug () {}, count () {}, gauge () {}, duration () {} }

async function waitUntil (condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + 5000
  while (!condition()) {
    if (performance.now() > deadlineMs) throw new Error('condition was not met in time')
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

describe('pollers', () => {
  let server: Server
  let status: number
  let bodies: Record<string, unknown>
  let settings: EntrySettings
  let client: HttpUpstreamClient
  let table: UpstreamTable

  const member = (id: string, address: string): object => ({
    id, role: 'upstream', service: 's', address, failure_domain: 'f', state: 'live', incarnation: '1'
  })
  const report = (bootId: string): object => ({
    boot_id: bootId, state: 'serving', running: 1, waiting: 0, capacity: 4, reported_at_ms: 0
  })
  const startServer = (port = 0): Promise<void> => new Promise((resolve) => {
    server = createServer((req, res) => {
      res.statusCode = status
      res.end(JSON.stringify(bodies[req.url!]))
    })
    server.listen(port, '127.0.0.1', resolve)
  })

  beforeEach(async () => {
    status = 200
    bodies = {}
    await startServer()
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    settings = {
      membershipAddress: address, membershipPollMs: 20, loadPollMs: 200, maxBodyBytes: 100_000, maxHeaderBytes: 16_384
    } as EntrySettings
    client = new HttpUpstreamClient(settings)
    table = new UpstreamTable(noop, noop)
    bodies['/v1/load'] = report('b1')
    bodies['/v1/members'] = { version: 1, members: [member('u', address), { id: 'faulty' }, { ...member('e', address), role: 'entry' }] }
  })

  afterEach(() => {
    client.dispose()
    server.closeAllConnections()
    server.close()
  })

  it('keeps the last list while the membership list cannot be read, and reports entry members', async () => {
    const poller = new MembershipPoller(client, table, settings, noop, noop)
    const receivedIds: string[] = []
    let listCount = 0
    poller.onMembers((members) => {
      listCount++
      receivedIds.splice(0, receivedIds.length, ...members.map((item) => item.id))
    })
    poller.start()
    await waitUntil(() => listCount > 0)
    expect(receivedIds).toEqual(['u', 'e'])
    status = 503
    await new Promise((resolve) => setTimeout(resolve, 60))
    bodies['/v1/members'] = { members: 'none' }
    status = 200
    await new Promise((resolve) => setTimeout(resolve, 60))
    expect(table.available('s').map((item) => item.id)).toEqual(['u'])
    poller.dispose()
  })

  // A list of 970 hosts is about 250 KB; transferring it every second would exceed all other control traffic.
  it('does not transfer an unchanged membership list again', async () => {
    let fullResponses = 0
    let notModifiedResponses = 0
    server.removeAllListeners('request').on('request', (req, res) => {
      if (req.headers['if-none-match'] === '"v1"') {
        notModifiedResponses++
        res.writeHead(304, { etag: '"v1"' }).end()
        return
      }
      fullResponses++
      res.writeHead(200, { etag: '"v1"' }).end(JSON.stringify(bodies[req.url!]))
    })
    const poller = new MembershipPoller(client, table, settings, noop, noop)
    poller.start()
    await waitUntil(() => notModifiedResponses > 2)
    expect(fullResponses).toEqual(1)
    expect(table.available('s').map((item) => item.id)).toEqual(['u'])
    poller.dispose()
  })

  it('polls many upstreams at once without a MaxListenersExceededWarning', async () => {
    const warnings: string[] = []
    const onWarning = (warning: Error): void => { warnings.push(warning.name) }
    process.on('warning', onWarning)
    // The interval is also the timeout of a poll: a process with a tenth of a core could not read 40 responses in 50 ms.
    settings.loadPollMs = 1000
    const { address } = (bodies['/v1/members'] as { members: Array<{ address: string }> }).members[0]!
    const ids = Array.from({ length: 40 }, (_, index) => `u${index}`)
    table.updateMembers(ids.map((id) => member(id, address)) as never[])
    const poller = new LoadPoller(client, table, table, settings, noop)
    poller.start()
    ids.forEach((id) => table.reportFailure(id))
    await waitUntil(() => ids.every((id) => table.get(id)?.load !== undefined))
    poller.dispose()
    process.off('warning', onWarning)
    expect(warnings).toEqual([])
  })

  it('reads load reports, and probes a refusing upstream at short intervals until it recovers', async () => {
    settings.loadPollMs = 3_600_000
    table.updateMembers((bodies['/v1/members'] as { members: never[] }).members)
    const poller = new LoadPoller(client, table, table, settings, noop)
    poller.start()
    // The next regular poll is an hour away, so the following changes can only come from probes.
    table.reportFailure('u')
    await waitUntil(() => table.get('u')?.load?.boot_id === 'b1')
    const { port } = server.address() as AddressInfo
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
    table.reportFailure('u', true)
    await waitUntil(() => table.get('u')?.isDown === true)
    bodies['/v1/load'] = report('b2')
    await startServer(port)
    await waitUntil(() => table.get('u')?.isDown === false)
    expect(table.get('u')?.load?.boot_id).toEqual('b2')
    poller.dispose()
  })
})
