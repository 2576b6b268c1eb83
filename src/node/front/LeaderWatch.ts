import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { LeaderViewClient } from './LeaderViewClient.js'

const CHECK_INTERVAL_MS = 250
const MAX_PEERS_PER_CHECK = 3
/** Entries whose last request is older than this are not queried. */
const PEER_MAX_AGE_MS = 60_000

/**
 * Queries other entries for the current leader while this entry leads but has no valid lease, for example because it
 * cannot reach the store. If only this entry is cut off, another one has taken over by then, and runs that continue
 * here would occupy engine slots that the new leader needs.
 */
export class LeaderWatch extends Disposable {
  private readonly _peerSeenAtMs = new Map<string, number>()
  private _isChecking = false

  constructor (
    private readonly _leadership: ILeadership,
    private readonly _leaderViews: LeaderViewClient,
    private readonly _logger: ILogger
  ) {
    super()
    const timer = setInterval(() => this._tick(), CHECK_INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  /** Records an entry that has forwarded a request here, and may be queried later. */
  recordPeer (address: string): void {
    this._peerSeenAtMs.set(address, performance.now())
  }

  private _tick (): void {
    if (!this._leadership.isLeader || this._leadership.validEpoch() !== undefined || this._isChecking) return
    this._isChecking = true
    this._checkPeers()
      .catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'leader_watch_fault'))
      .finally(() => { this._isChecking = false })
  }

  private async _checkPeers (): Promise<void> {
    const recentAddresses = [...this._peerSeenAtMs].filter(([, seenAtMs]) => performance.now() - seenAtMs < PEER_MAX_AGE_MS).map(([address]) => address)
    const addresses = recentAddresses.sort(() => Math.random() - 0.5).slice(0, MAX_PEERS_PER_CHECK)
    const views = await Promise.all(addresses.map(async address => await this._leaderViews.fetch(address)))
    for (const view of views) {
      if (view?.epoch !== undefined && view.address !== undefined) this._leadership.observeLeader(view.epoch, view.address)
    }
  }
}
