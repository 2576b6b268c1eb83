import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { fromBinary } from '@bufbuild/protobuf'
import { expect } from 'earl'
import { GossipSchema, type Gossip as GossipMessage } from '../../gen/peer_pb.js'
import { SuspectRuns } from '../crash/SuspectRuns.js'
import { Emitter } from '../kernel/Emitter.js'
import { Gossip } from './Gossip.js'
import { PeerTable } from './PeerTable.js'

const logger = { info () {}, warn () {}, error () {}, debug () {} }
const settingsOf = (id: string): any => ({ id, failureDomain: 'steam-hall', heartbeatTimeoutMs: 3000, gossipIntervalMs: 400 })

class FakeEntry {
  readonly events = new Emitter<{ message: GossipMessage, address: string }>()
  readonly sent: Array<{ address: string, payload: Uint8Array }> = []
  readonly fetched: string[] = []
  readonly peerOutstanding = new Map<string, number>()
  readonly leaving: string[] = []
  readonly receivedSuspects: string[] = []
  readonly runs = new SuspectRuns()
  readonly table: PeerTable
  readonly gossip: Gossip

  constructor (id: string, revision: number, suspects: string[] = []) {
    const settings = settingsOf(id)
    const contracts = [{ organisation: 'lin-shun', revision }]
    this.table = new PeerTable(settings, logger)
    this.gossip = new Gossip(settings, this.table,
      { onGossip: this.events.event, send: (address, payload) => this.sent.push({ address, payload }) },
      { all: () => contracts, current: () => contracts[0] } as any,
      { isCurrent: true, fetchFrom: peer => this.fetched.push(peer) },
      {
        all: () => [{ id: 'engine-1', incarnation: 'i1', outstanding: 4, isLeaving: revision === 2 }],
        updatePeerOutstanding: (upstream: string, sum: number) => this.peerOutstanding.set(upstream, sum),
        markLeaving: (upstream: string) => this.leaving.push(upstream)
      } as any,
      {
        suspects: () => suspects,
        addPeerSuspects: (names: string[]) => this.receivedSuspects.push(...names),
        runningSuspects: () => this.runs.running(),
        setPeerRuns: (peer: string, names: string[]) => this.runs.setPeerRuns(peer, names),
        onRunsChanged: this.runs.onChanged
      })
    this.gossip.start()
  }

  deliverTo (other: FakeEntry): void {
    for (const { payload } of this.sent.splice(0)) {
      other.events.fire({ message: fromBinary(GossipSchema, payload), address: '127.0.0.1:7' })
    }
  }
}

describe('Gossip', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
  })
  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('sends to two different entries at each interval', () => {
    const entry = new FakeEntry('entry-1', 1)
    entry.table.updateMembers([2, 3, 4].map(number => ({ id: `entry-${number}`, role: 'entry', address: '', peer_address: `127.0.0.1:${number}`, failure_domain: 'x', state: 'live', incarnation: '' })))
    mock.timers.tick(400)
    expect(new Set(entry.sent.map(item => item.address)).size).toEqual(2)
    mock.timers.tick(400)
    expect(entry.sent.length).toEqual(4)
    entry.gossip.dispose()
  })

  it('applies heartbeats, hints, leaving upstreams and suspects, and fetches newer contracts', () => {
    const sender = new FakeEntry('entry-2', 2, ['fff'])
    const receiver = new FakeEntry('entry-1', 1)
    sender.table.recordHeartbeat({ id: 'entry-3', incarnation: 'b', sequence: 1, isDraining: false })
    sender.table.updateMembers([{ id: 'entry-1', role: 'entry', address: '', peer_address: '127.0.0.1:1', failure_domain: 'x', state: 'live', incarnation: '' }])
    sender.gossip.announce()
    sender.deliverTo(receiver)
    expect(receiver.table.liveIds()).toEqual(['entry-1', 'entry-2', 'entry-3'])
    expect(receiver.fetched).toEqual(['entry-2'])
    expect(receiver.leaving).toEqual(['engine-1'])
    expect(receiver.receivedSuspects).toEqual(['fff'])
    mock.timers.tick(400)
    expect(receiver.peerOutstanding.get('engine-1')).toEqual(4)
    mock.timers.tick(3600)
    expect(receiver.peerOutstanding.get('engine-1')).toEqual(0)
    receiver.events.fire({ message: { ...fromBinary(GossipSchema, new Uint8Array()), sender: 'entry-2', incarnation: 'zzz', contractHeads: [{ organisation: 'lin-shun', revision: 1n }] as any }, address: 'x' })
    expect(receiver.fetched.length).toEqual(1)
  })
  it('tells peers at once when a suspect starts to run, and when it has ended', () => {
    const sender = new FakeEntry('entry-2', 1)
    const receiver = new FakeEntry('entry-1', 1)
    sender.table.updateMembers([{ id: 'entry-1', role: 'entry', address: '', peer_address: '127.0.0.1:1', failure_domain: 'x', state: 'live', incarnation: '' }])
    const end = sender.runs.start('eee')
    sender.deliverTo(receiver)
    expect(receiver.runs.isRunningAtPeer('eee')).toEqual(true)
    end(true)
    sender.deliverTo(receiver)
    expect(receiver.runs.isRunningAtPeer('eee')).toEqual(false)
  })
})
