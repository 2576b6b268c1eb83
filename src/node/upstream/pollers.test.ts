import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { UpstreamTable } from '../../common/upstream/UpstreamTable.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { LoadPoller } from './LoadPoller.js'
import { MembershipPoller } from './MembershipPoller.js'

const silent = { info () {}, warn () {}, error () {}, debug () {}, count () {}, gauge () {}, duration () {} }

async function until (condition: () => boolean): Promise<void> {
  const limitMs = performance.now() + 5000
  while (!condition()) {
    if (performance.now() > limitMs) throw new Error('condition was not met in time')
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
  const listen = (port = 0): Promise<void> => new Promise((resolve) => {
    server = createServer((req, res) => {
      res.statusCode = status
      res.end(JSON.stringify(bodies[req.url!]))
    })
    server.listen(port, '127.0.0.1', resolve)
  })

  beforeEach(async () => {
    status = 200
    bodies = {}
    await listen()
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    settings = {
      membershipAddress: address, membershipPollMs: 20, loadPollMs: 200, maxBodyBytes: 100_000, maxHeaderBytes: 16_384
    } as EntrySettings
    client = new HttpUpstreamClient(settings)
    table = new UpstreamTable(silent, silent)
    bodies['/v1/load'] = report('b1')
    bodies['/v1/members'] = { version: 1, members: [member('u', address), { id: 'faulty' }, { ...member('e', address), role: 'entry' }] }
  })

  afterEach(() => {
    client.dispose()
    server.closeAllConnections()
    server.close()
  })

  it('keeps the last list while the membership list fails, and hands on entry members', async () => {
    const poller = new MembershipPoller(client, table, settings, silent, silent)
    const seen: string[] = []
    let lists = 0
    poller.onMembers((members) => {
      lists++
      seen.splice(0, seen.length, ...members.map((item) => item.id))
    })
    poller.start()
    await until(() => lists > 0)
    expect(seen).toEqual(['u', 'e'])
    status = 503
    await new Promise((resolve) => setTimeout(resolve, 60))
    bodies['/v1/members'] = { members: 'none' }
    status = 200
    await new Promise((resolve) => setTimeout(resolve, 60))
    expect(table.available('s').map((item) => item.id)).toEqual(['u'])
    poller.dispose()
  })

  // A list of 970 hosts is about 250 KB; reading it every second costs more than all other control traffic.
  it('does not read an unchanged membership list again', async () => {
    let full = 0
    let unchanged = 0
    server.removeAllListeners('request').on('request', (req, res) => {
      if (req.headers['if-none-match'] === '"v1"') {
        unchanged++
        res.writeHead(304, { etag: '"v1"' }).end()
        return
      }
      full++
      res.writeHead(200, { etag: '"v1"' }).end(JSON.stringify(bodies[req.url!]))
    })
    const poller = new MembershipPoller(client, table, settings, silent, silent)
    poller.start()
    await until(() => unchanged > 2)
    expect(full).toEqual(1)
    expect(table.available('s').map((item) => item.id)).toEqual(['u'])
    poller.dispose()
  })

  it('polls many upstreams at once without a warning about listeners', async () => {
    const warnings: string[] = []
    const onWarning = (warning: Error): void => { warnings.push(warning.name) }
    process.on('warning', onWarning)
    // Also the time limit of a poll: 40 answers in 50 ms were too much for a process with a tenth of a core.
    settings.loadPollMs = 1000
    const { address } = (bodies['/v1/members'] as { members: Array<{ address: string }> }).members[0]!
    const ids = Array.from({ length: 40 }, (_, index) => `u${index}`)
    table.updateMembers(ids.map((id) => member(id, address)) as never[])
    const poller = new LoadPoller(client, table, table, settings, silent)
    poller.start()
    ids.forEach((id) => table.reportFailure(id))
    await until(() => ids.every((id) => table.get(id)?.load !== undefined))
    poller.dispose()
    process.off('warning', onWarning)
    expect(warnings).toEqual([])
  })

  it('reads load reports and probes a refused upstream quickly until it is back', async () => {
    settings.loadPollMs = 3_600_000
    table.updateMembers((bodies['/v1/members'] as { members: never[] }).members)
    const poller = new LoadPoller(client, table, table, settings, silent)
    poller.start()
    // The regular poll is an hour away: only probes can bring the following changes.
    table.reportFailure('u')
    await until(() => table.get('u')?.load?.boot_id === 'b1')
    const { port } = server.address() as AddressInfo
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
    table.reportFailure('u', true)
    await until(() => table.get('u')?.isDown === true)
    bodies['/v1/load'] = report('b2')
    await listen(port)
    await until(() => table.get('u')?.isDown === false)
    expect(table.get('u')?.load?.boot_id).toEqual('b2')
    poller.dispose()
  })
})
