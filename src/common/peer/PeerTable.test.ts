import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { ILogger } from '../metrics/ILogger.js'
import type { Member } from '../schema/Member.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { PeerTable } from './PeerTable.js'

const logger: ILogger = { info () {}, warn () {}, error () {}, debug () {} }
const settings = { id: 'entry-1', heartbeatTimeoutMs: 3000 } as EntrySettings
const heartbeat = (id: string, sequence: number, incarnation = 'b', isDraining = false): any => ({ id, incarnation, sequence, isDraining })
const member = (id: string, state: Member['state'] = 'live'): Member =>
  ({ id, role: 'entry', address: '127.0.0.1:1', peer_address: '127.0.0.1:2', rpc_address: '127.0.0.1:3', failure_domain: 'steam-hall', state, incarnation: '1' })

describe('PeerTable', () => {
  let table: PeerTable
  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
    table = new PeerTable(settings, logger)
    table.start()
  })
  afterEach(() => {
    table.dispose()
    mock.timers.reset()
    mock.restoreAll()
  })

  it('considers an entry alive until the heartbeat timeout and fires onChange when it has passed', () => {
    let changes = 0
    table.onChange(() => changes++)
    table.recordHeartbeat(heartbeat('entry-2', 1))
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
    mock.timers.tick(2999)
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
    mock.timers.tick(301)
    expect(table.liveIds()).toEqual(['entry-1'])
    expect(changes).toEqual(2)
  })

  it('ignores duplicate and older heartbeats, which must not keep a dead entry alive', () => {
    table.recordHeartbeat(heartbeat('entry-2', 5, 'b'))
    mock.timers.tick(2000)
    table.recordHeartbeat(heartbeat('entry-2', 5, 'b'))
    table.recordHeartbeat(heartbeat('entry-2', 9, 'a'))
    mock.timers.tick(1500)
    expect(table.liveIds()).toEqual(['entry-1'])
    table.recordHeartbeat(heartbeat('entry-2', 1, 'c'))
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
  })

  it('accepts a replaced host with a lower incarnation after ten timeouts', () => {
    table.updateMembers([member('entry-2')])
    table.recordHeartbeat(heartbeat('entry-2', 5, 'b'))
    mock.timers.tick(30_300)
    table.recordHeartbeat(heartbeat('entry-2', 1, 'a'))
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
  })

  it('excludes entries that are draining by heartbeat, membership list or their own state', () => {
    table.recordHeartbeat(heartbeat('entry-2', 1, 'b', true))
    table.recordHeartbeat(heartbeat('entry-3', 1))
    table.updateMembers([member('entry-1'), member('entry-3', 'leaving')])
    expect(table.liveIds()).toEqual(['entry-1'])
    table.startDraining()
    expect(table.liveIds()).toEqual([])
  })

  it('relays fresh heartbeats only, so that relaying does not keep a dead entry alive', () => {
    table.recordHeartbeat(heartbeat('entry-2', 1))
    expect(table.freshHeartbeats().length).toEqual(1)
    mock.timers.tick(1100)
    expect(table.freshHeartbeats()).toEqual([])
  })

  it('returns the addresses of other entries, including those known only from datagrams', () => {
    table.updateMembers([member('entry-1'), member('entry-2')])
    table.recordHeartbeat(heartbeat('entry-9', 1), { address: '127.0.0.1:99', failureDomain: 'dry-loft' })
    expect(table.peerAddresses()).toEqual(['127.0.0.1:2', '127.0.0.1:99'])
    expect([...table.rpcAddresses()]).toEqual([['entry-2', '127.0.0.1:3']])
  })
})
