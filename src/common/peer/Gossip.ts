import type { Gossip as GossipMessage } from '../../gen/peer_pb.js'
import type { IContractStore } from '../contract/IContractStore.js'
import { contractStoreId } from '../contract/contractStoreId.js'
import type { ISuspectGossip } from '../crash/ISuspectGossip.js'
import { suspectGossipId } from '../crash/suspectGossipId.js'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import { upstreamTableId } from '../upstream/upstreamTableId.js'
import { contractSyncId } from './contractSyncId.js'
import type { GossipContent } from './GossipContent.js'
import { GossipEncoder } from './GossipEncoder.js'
import type { IContractSync } from './IContractSync.js'
import type { IGossip } from './IGossip.js'
import type { IPeerRegistry } from './IPeerRegistry.js'
import type { IPeerSocket } from './IPeerSocket.js'
import { PeerLoads } from './PeerLoads.js'
import { peerRegistryId } from './peerRegistryId.js'
import { peerSocketId } from './peerSocketId.js'

const TARGETS_PER_INTERVAL = 2
const TARGETS_PER_ANNOUNCEMENT = 12

/** Sends the state of this entry to random entries at each interval and applies the state received from others. */
export class Gossip extends Disposable implements IGossip {
  private readonly _encoder = new GossipEncoder()
  private readonly _loads: PeerLoads

  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @peerRegistryId private readonly _peers: IPeerRegistry,
    @peerSocketId private readonly _socket: IPeerSocket,
    @contractStoreId private readonly _contracts: IContractStore,
    @contractSyncId private readonly _sync: IContractSync,
    @upstreamTableId private readonly _upstreams: IUpstreamTable,
    @suspectGossipId private readonly _suspects: ISuspectGossip
  ) {
    super()
    this._loads = new PeerLoads(_settings.heartbeatTimeoutMs)
  }

  start (): void {
    this._register(this._socket.onGossip(({ message, address }) => this._applyMessage(message, address)))
    this._register(this._suspects.onRunsChanged(() => this.announce()))
    this._register(startInterval(() => this._onInterval(), this._settings.gossipIntervalMs))
  }

  announce (): void {
    this._sendToRandom(TARGETS_PER_ANNOUNCEMENT)
  }

  private _onInterval (): void {
    this._sendToRandom(TARGETS_PER_INTERVAL)
    for (const [upstreamId, outstanding] of this._loads.sums()) {
      this._upstreams.updatePeerOutstanding(upstreamId, outstanding)
    }
  }

  private _sendToRandom (targetCount: number): void {
    const addresses = this._peers.peerAddresses()
    for (let count = 0; count < targetCount && addresses.length > 0; count++) {
      const [address] = addresses.splice(Math.floor(Math.random() * addresses.length), 1)
      if (address !== undefined) this._socket.send(address, this._encoder.encode(this._buildContent()))
    }
  }

  private _buildContent (): GossipContent {
    return {
      sender: this._settings.id,
      incarnation: this._peers.incarnation,
      failureDomain: this._settings.failureDomain,
      isDraining: this._peers.isDraining,
      heartbeats: this._peers.freshHeartbeats(),
      contractHeads: this._contracts.all().map(revision => ({ organisation: revision.organisation, revision: revision.revision })),
      upstreams: this._upstreams.all().map(upstream => ({
        id: upstream.id, incarnation: upstream.incarnation, outstanding: upstream.outstanding, isLeaving: upstream.isLeaving
      })),
      suspects: this._suspects.suspects(),
      runningSuspects: this._suspects.runningSuspects()
    }
  }

  private _applyMessage (message: GossipMessage, address: string): void {
    if (message.sender === this._settings.id) return
    this._peers.recordHeartbeat({
      id: message.sender, incarnation: message.incarnation, sequence: Number(message.sequence), isDraining: message.draining
    }, { address, failureDomain: message.failureDomain })
    for (const heartbeat of message.heartbeats) {
      this._peers.recordHeartbeat({ id: heartbeat.id, incarnation: heartbeat.incarnation, sequence: Number(heartbeat.sequence), isDraining: heartbeat.draining })
    }
    for (const hint of message.upstreams) {
      this._loads.record(hint.id, message.sender, hint.outstanding)
      if (hint.leaving) this._upstreams.markLeaving(hint.id, hint.incarnation)
    }
    this._suspects.addPeerSuspects(message.suspects)
    this._suspects.setPeerRuns(message.sender, message.runningSuspects)
    const hasNewerContract = message.contractHeads.some(head => Number(head.revision) > (this._contracts.current(head.organisation)?.revision ?? 0))
    if (hasNewerContract) this._sync.fetchFrom(message.sender)
  }
}
