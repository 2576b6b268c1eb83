import { setImmediate as pollTurn, setTimeout as sleep } from 'node:timers/promises'
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
/** Part of the notice that must pass without a new connection before the listener closes. */
const QUIET_SHARE = 0.5
/** Longest notice while callers keep connecting, as a multiple of the setting. */
const MAX_NOTICES = 3
// Results of claims that are still queued would otherwise leave their keys without a result.
const FLUSH_TIMEOUT_MS = 10_000

/** The planned stop: no request in flight is cut off. */
export class Drain {
  constructor (
    private readonly _otherWork: () => number,
    @entrySettingsId private readonly _settings: EntrySettings,
    @peerRegistryId private readonly _peers: IPeerRegistry,
    @gossipId private readonly _gossip: IGossip,
    @contractStoreId private readonly _contracts: IContractStore,
    @httpServerId private readonly _server: IHttpServer,
    @logHubId private readonly _log: ILogHub,
    @loggerId private readonly _logger: ILogger
  ) {}

  /** Resolves with true when nothing was in flight at the end. */
  async run (): Promise<boolean> {
    this._peers.startDraining()
    this._gossip.announce()
    this._logger.info({ in_flight: this._inFlight() }, 'drain_started')
    await this._serveNotice()
    const limitAtMs = performance.now() + this._limitMs()
    this._server.closeIdleConnections()
    while (this._inFlight() > 0 && performance.now() < limitAtMs) {
      await nextCheck()
      this._server.closeIdleConnections()
    }
    const left = this._inFlight()
    await this._log.flush(FLUSH_TIMEOUT_MS)
    this._logger.info({ in_flight: left }, left === 0 ? 'drain_finished' : 'drain_limit_reached')
    return left === 0
  }

  /**
   * Serves until the balancer has stopped sending. Its view or this process may lag on a busy host, and
   * closing the listener resets the connections that wait to be accepted.
   */
  private async _serveNotice (): Promise<void> {
    const { drainNoticeMs } = this._settings
    const startedAtMs = performance.now()
    await sleep(drainNoticeMs)
    await pollTurn()
    const isOver = (): boolean => performance.now() - startedAtMs >= MAX_NOTICES * drainNoticeMs
    while (this._server.timeSinceConnectionMs() < QUIET_SHARE * drainNoticeMs && !isOver()) await nextCheck()
    const noticeMs = Math.round(performance.now() - startedAtMs)
    this._logger.info({ notice_ms: noticeMs, quiet_ms: Math.round(this._server.timeSinceConnectionMs()) }, 'drain_notice_ended')
  }

  private _inFlight (): number {
    return this._server.inFlight() + this._otherWork()
  }

  /** The limit guards against a fault and is never below the longest deadline in force. */
  private _limitMs (): number {
    const deadlines = this._contracts.all().flatMap(({ contract }) => Object.values(contract.work).map(workClass => workClass.deadline_ms))
    return Math.max(this._settings.drainLimitMs, ...deadlines)
  }
}

/** Timers run before sockets are read, so that a process that stood still would not see what has arrived. */
async function nextCheck (): Promise<void> {
  await sleep(CHECK_INTERVAL_MS)
  await pollTurn()
}
