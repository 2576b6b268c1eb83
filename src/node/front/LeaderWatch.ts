import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { LeaderViewClient } from './LeaderViewClient.js'

const INTERVAL_MS = 250
const PEERS_ASKED = 3
/** Entries that were heard of longer ago are not asked. */
const PEER_MAX_AGE_MS = 60_000

/**
 * Asks other entries who leads while this leader has lost touch with the store. If only this entry is cut off,
 * another one leads by then, and runs that go on here would take the engines' slots from it.
 */
export class LeaderWatch extends Disposable {
  private readonly _peers = new Map<string, number>()
  private _isAsking = false

  constructor (
    private readonly _leadership: ILeadership,
    private readonly _views: LeaderViewClient,
    private readonly _logger: ILogger
  ) {
    super()
    const timer = setInterval(() => this._tick(), INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  /** Notes an entry that sent a request here as the leader. */
  recordPeer (address: string): void {
    this._peers.set(address, performance.now())
  }

  private _tick (): void {
    if (!this._leadership.isLeader || this._leadership.validEpoch() !== undefined || this._isAsking) return
    this._isAsking = true
    this._ask()
      .catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'leader_watch_fault'))
      .finally(() => { this._isAsking = false })
  }

  private async _ask (): Promise<void> {
    const recent = [...this._peers].filter(([, seenAtMs]) => performance.now() - seenAtMs < PEER_MAX_AGE_MS).map(([address]) => address)
    const asked = recent.sort(() => Math.random() - 0.5).slice(0, PEERS_ASKED)
    const views = await Promise.all(asked.map(async address => await this._views.fetch(address)))
    for (const view of views) {
      if (view?.epoch !== undefined && view.address !== undefined) this._leadership.observeLeader(view.epoch, view.address)
    }
  }
}
