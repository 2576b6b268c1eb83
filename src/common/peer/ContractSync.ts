import type { IReplicatedContractStore } from '../contract/IReplicatedContractStore.js'
import { replicatedContractStoreId } from '../contract/replicatedContractStoreId.js'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogHub } from '../log/ILogHub.js'
import { logHubId } from '../log/logHubId.js'
import type { ILogger } from '../metrics/ILogger.js'
import { loggerId } from '../metrics/loggerId.js'
import type { IContractSync } from './IContractSync.js'
import type { IPeerClient } from './IPeerClient.js'
import type { IPeerRegistry } from './IPeerRegistry.js'
import { peerClientId } from './peerClientId.js'
import { peerRegistryId } from './peerRegistryId.js'

const CHECK_INTERVAL_MS = 250
const FETCH_TIMEOUT_MS = 2000
// An entry without any contract retries, because its peers may have started at the same time.
const RETRY_INTERVAL_MS = 2000

/** Fetches the contracts of all entries of the membership list at start and after a retention gap. */
export class ContractSync extends Disposable implements IContractSync {
  private readonly _fetchingPeerIds = new Set<string>()
  private _lastRoundAtMs = -Infinity
  private _isRoundRunning = false
  /** True until a round, which fetches from all listed entries, has ended since the start or the last retention gap. */
  private _isRoundDue = true
  private _hasFetchedContracts = false

  constructor (
    @peerRegistryId private readonly _peers: IPeerRegistry,
    @peerClientId private readonly _client: IPeerClient,
    @replicatedContractStoreId private readonly _contracts: IReplicatedContractStore,
    @logHubId private readonly _hub: ILogHub,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    this._register(this._contracts.onGap(() => this._onRetentionGap()))
  }

  get isCurrent (): boolean {
    if (this._contracts.gapCount > 0) return this._contracts.isVerified()
    return this._hub.status('contracts').isCaughtUp || this._hasFetchedContracts
  }

  start (): void {
    this._register(startInterval(() => this._startRoundIfDue(), CHECK_INTERVAL_MS))
  }

  fetchFrom (peerId: string): void {
    const address = this._peers.rpcAddresses().get(peerId)
    if (address !== undefined) this._fetch(peerId, address)
  }

  private _onRetentionGap (): void {
    this._hasFetchedContracts = false
    this._isRoundDue = true
  }

  private _startRoundIfDue (): void {
    if (this._isRoundRunning || !this._peers.hasMembershipList) return
    const isRetryDue = performance.now() - this._lastRoundAtMs >= RETRY_INTERVAL_MS
    if (this._isRoundDue || (this._contracts.all().length === 0 && isRetryDue)) this._fetchFromAll()
  }

  private async _fetchFromAll (): Promise<void> {
    this._isRoundRunning = true
    const { gapCount } = this._contracts
    const peers = [...this._peers.rpcAddresses()]
    const succeeded = await Promise.all(peers.map(async ([id, address]) => await this._fetch(id, address)))
    this._isRoundRunning = false
    this._lastRoundAtMs = performance.now()
    // Contracts fetched before a gap do not verify the state after it.
    if (gapCount !== this._contracts.gapCount) return
    this._contracts.markPeersQueried(gapCount)
    this._isRoundDue = false
    this._logger.info({ asked: peers.length, answered: succeeded.filter(Boolean).length }, 'peer_contracts_asked')
  }

  private async _fetch (peerId: string, address: string): Promise<boolean> {
    if (this._fetchingPeerIds.has(peerId)) return false
    this._fetchingPeerIds.add(peerId)
    const { gapCount } = this._contracts
    const result = await this._client.getContracts(address, FETCH_TIMEOUT_MS)
    this._fetchingPeerIds.delete(peerId)
    if (result.isErr()) {
      this._logger.warn({ peer: peerId, reason: result.error.message }, 'peer_contracts_failed')
      return false
    }
    for (const revision of result.value) this._contracts.offer(revision)
    if (result.value.length > 0 && gapCount === this._contracts.gapCount) this._hasFetchedContracts = true
    return true
  }
}
