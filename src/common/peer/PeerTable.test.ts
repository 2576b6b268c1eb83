import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { ILogger } from '../metrics/ILogger.js'
import type { Member } from '../schema/Member.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { PeerTable } from './PeerTable.js'

const logger: ILogger = { info () {}, warn () {}, error () {}, debug () {} }
const settings = { id: 'entry-1', heartbeatTimeoutMs: 3000 } as EntrySettings
const beat = (id: string, sequence: number, incarnation = 'b', isDraining = false): any => ({ id, incarnation, sequence, isDraining })
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

  it('counts an entry as alive until the heartbeat timeout and reports the change', () => {
    let changes = 0
    table.onChange(() => changes++)
    table.recordHeartbeat(beat('entry-2', 1))
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
    mock.timers.tick(2999)
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
    mock.timers.tick(301)
    expect(table.liveIds()).toEqual(['entry-1'])
    expect(changes).toEqual(2)
  })

  it('ignores repeated and older heartbeats, which must not keep a dead entry alive', () => {
    table.recordHeartbeat(beat('entry-2', 5, 'b'))
    mock.timers.tick(2000)
    table.recordHeartbeat(beat('entry-2', 5, 'b'))
    table.recordHeartbeat(beat('entry-2', 9, 'a'))
    mock.timers.tick(1500)
    expect(table.liveIds()).toEqual(['entry-1'])
    table.recordHeartbeat(beat('entry-2', 1, 'c'))
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
  })

  it('hears a replaced host with a lower incarnation after ten timeouts', () => {
    table.updateMembers([member('entry-2')])
    table.recordHeartbeat(beat('entry-2', 5, 'b'))
    mock.timers.tick(30_300)
    table.recordHeartbeat(beat('entry-2', 1, 'a'))
    expect(table.liveIds()).toEqual(['entry-1', 'entry-2'])
  })

  it('leaves out draining entries, by heartbeat, list or own state', () => {
    table.recordHeartbeat(beat('entry-2', 1, 'b', true))
    table.recordHeartbeat(beat('entry-3', 1))
    table.updateMembers([member('entry-1'), member('entry-3', 'leaving')])
    expect(table.liveIds()).toEqual(['entry-1'])
    table.startDraining()
    expect(table.liveIds()).toEqual([])
  })

  it('passes on fresh heartbeats only, so that relays do not prolong the life of a dead entry', () => {
    table.recordHeartbeat(beat('entry-2', 1))
    expect(table.freshHeartbeats().length).toEqual(1)
    mock.timers.tick(1100)
    expect(table.freshHeartbeats()).toEqual([])
  })

  it('lists addresses of other entries, heard ones included', () => {
    table.updateMembers([member('entry-1'), member('entry-2')])
    table.recordHeartbeat(beat('entry-9', 1), { address: '127.0.0.1:99', failureDomain: 'dry-loft' })
    expect(table.peerAddresses()).toEqual(['127.0.0.1:2', '127.0.0.1:99'])
    expect([...table.rpcAddresses()]).toEqual([['entry-2', '127.0.0.1:3']])
  })
})
