import { setImmediate as nextLoopTurn, setTimeout as sleep } from 'node:timers/promises'
import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import type { ILogHub } from '../../common/log/ILogHub.js'
import { logHubId } from '../../common/log/logHubId.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import type { IGossip } from '../../common/peer/IGossip.js'
import { gossipId } from '../../common/peer/gossipId.js'
import type { IPeerRegistry } from '../../common/peer/IPeerRegistry.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import type { IHttpServer } from '../http/IHttpServer.js'
import { httpServerId } from '../http/httpServerId.js'

const CHECK_INTERVAL_MS = 20
/** Fraction of the notice that must pass without a new connection before the listener closes. */
const IDLE_NOTICE_RATIO = 0.5
/** Longest notice while callers keep connecting, as a multiple of `drain_notice_ms`. */
const MAX_NOTICE_FACTOR = 3
/** A turn of the event loop up to this length without a new connection leaves hardly any time for one to arrive unseen. */
const QUIET_TURN_MS = 1
/** Longest search for such a turn. */
const MAX_QUIET_SEARCH_MS = 500
// Without the flush, idempotency keys whose results are still queued would remain without a result in the log.
const FLUSH_TIMEOUT_MS = 10_000

/** Planned stop of an entry, which lets requests in flight finish. */
export class Drain {
  constructor (
    private readonly _otherInFlight: () => number,
    @entrySettingsId private readonly _settings: EntrySettings,
    @peerRegistryId private readonly _peers: IPeerRegistry,
    @gossipId private readonly _gossip: IGossip,
    @contractStoreId private readonly _contracts: IContractStore,
    @httpServerId private readonly _server: IHttpServer,
    @logHubId private readonly _hub: ILogHub,
    @loggerId private readonly _logger: ILogger
  ) {}

  /** Resolves with true when nothing was in flight at the end, and with false when the limit was reached. */
  async run (): Promise<boolean> {
    this._peers.startDraining()
    this._gossip.announce()
    this._logger.info({ in_flight: this._inFlight() }, 'drain_started')
    await this._serveDuringNotice()
    const limitAtMs = performance.now() + this._drainLimitMs()
    this._server.closeIdleConnections()
    while (this._inFlight() > 0 && performance.now() < limitAtMs) {
      await waitForNextCheck()
      this._server.closeIdleConnections()
    }
    const remaining = this._inFlight()
    await this._hub.flush(FLUSH_TIMEOUT_MS)
    this._logger.info({ in_flight: remaining }, remaining === 0 ? 'drain_finished' : 'drain_limit_reached')
    return remaining === 0
  }

  /**
   * Keeps serving until the load balancer has stopped sending. The balancer's view or this process may lag on a
   * busy host, and closing the listener resets the connections that wait to be accepted.
   */
  private async _serveDuringNotice (): Promise<void> {
    const { drainNoticeMs } = this._settings
    const startedAtMs = performance.now()
    await sleep(drainNoticeMs)
    await nextLoopTurn()
    const isStillUsed = (): boolean => this._server.timeSinceConnectionMs() < IDLE_NOTICE_RATIO * drainNoticeMs
    const isNoticeOver = (): boolean => performance.now() - startedAtMs >= MAX_NOTICE_FACTOR * drainNoticeMs
    while (isStillUsed() && !isNoticeOver()) await waitForNextCheck()
    if (isStillUsed()) await this._waitForQuietTurn()
    const noticeMs = Math.round(performance.now() - startedAtMs)
    this._logger.info({ notice_ms: noticeMs, quiet_ms: Math.round(this._server.timeSinceConnectionMs()) }, 'drain_notice_ended')
  }

  /** Waits for a short turn of the event loop in which no connection was accepted. */
  private async _waitForQuietTurn (): Promise<void> {
    const giveUpAtMs = performance.now() + MAX_QUIET_SEARCH_MS
    for (;;) {
      const startedAtMs = performance.now()
      await nextLoopTurn()
      const sinceConnectionMs = this._server.timeSinceConnectionMs()
      const nowMs = performance.now()
      const isQuiet = nowMs - startedAtMs <= QUIET_TURN_MS && nowMs - sinceConnectionMs < startedAtMs
      if (isQuiet || nowMs >= giveUpAtMs) return
    }
  }

  private _inFlight (): number {
    return this._server.inFlight() + this._otherInFlight()
  }

  /** Maximum wait for work in flight, as a guard against work that never ends because of a fault. Never below the longest deadline in force. */
  private _drainLimitMs (): number {
    const deadlines = this._contracts.all().flatMap(({ contract }) => Object.values(contract.work).map(workClass => workClass.deadline_ms))
    return Math.max(this._settings.drainLimitMs, ...deadlines)
  }
}

/**
 * Waits for the check interval and one more turn of the event loop. Timers run before sockets are read, so a process
 * that was paused would otherwise miss the connections that have arrived meanwhile.
 */
async function waitForNextCheck (): Promise<void> {
  await sleep(CHECK_INTERVAL_MS)
  await nextLoopTurn()
}
