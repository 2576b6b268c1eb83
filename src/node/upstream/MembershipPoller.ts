import { Disposable } from '../../common/kernel/Disposable.js'
import { Emitter } from '../../common/kernel/Emitter.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import type { Member } from '../../common/schema/Member.js'
import { memberSchema } from '../../common/schema/memberSchema.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { IUpstreamTable } from '../../common/upstream/IUpstreamTable.js'
import { upstreamClientId } from '../../common/upstream/client/upstreamClientId.js'
import { upstreamTableId } from '../../common/upstream/upstreamTableId.js'
import { fetchJson } from './fetchJson.js'
import { addJitter } from './addJitter.js'
import { membershipSchema } from './membershipSchema.js'

const MIN_POLL_TIMEOUT_MS = 1_000

/** Polls the membership list. While it cannot be read, the last list stays in use. */
export class MembershipPoller extends Disposable {
  private readonly _onMembers = this._register(new Emitter<Member[]>())
  private readonly _abortController = new AbortController()
  private _timer?: NodeJS.Timeout
  private _isFailing = false
  /** Entity tag of the list in use. The server does not send an unchanged list again, which saves much traffic for long lists. */
  private _etag?: string
  /** Fires with the whole list, including members with the role `entry`, after the upstream table has been updated. */
  readonly onMembers = this._onMembers.event

  constructor (
    @upstreamClientId private readonly _client: IUpstreamClient,
    @upstreamTableId private readonly _table: IUpstreamTable,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => {
      this._abortController.abort()
      clearTimeout(this._timer)
    }))
  }

  start (): void {
    this._poll().catch((error: unknown) => this._logger.error({ error: String(error) }, 'membership_poll_failed'))
  }

  private async _poll (): Promise<void> {
    const timeoutMs = Math.max(MIN_POLL_TIMEOUT_MS, this._settings.membershipPollMs)
    const response = await fetchJson(this._client, this._settings.membershipAddress, '/v1/members', timeoutMs, this._abortController.signal, this._etag)
    if (this._abortController.signal.aborted) {
      return
    }
    const list = membershipSchema.safeParse(response.isOk() ? response.value.document : undefined)
    if (response.isOk() && response.value.isUnchanged) {
      this._markAvailable()
    } else if (response.isOk() && list.success) {
      this._applyMembers(list.data.members)
      this._etag = response.value.etag
    } else {
      this._markUnavailable(response.isErr() ? response.error.message : 'membership list does not match its schema')
    }
    this._timer = setTimeout(() => this.start(), addJitter(this._settings.membershipPollMs))
  }

  private _applyMembers (items: unknown[]): void {
    this._markAvailable()
    const members: Member[] = []
    for (const item of items) {
      const member = memberSchema.safeParse(item)
      if (member.success) {
        members.push(member.data)
      } else {
        this._metrics.count('membership_invalid_members_total')
      }
    }
    this._table.updateMembers(members)
    this._onMembers.fire(members)
  }

  private _markAvailable (): void {
    if (this._isFailing) {
      this._logger.info({}, 'membership_available')
    }
    this._isFailing = false
  }

  private _markUnavailable (message: string): void {
    this._metrics.count('membership_poll_failures_total')
    if (!this._isFailing) {
      this._logger.warn({ message }, 'membership_unavailable')
    }
    this._isFailing = true
  }
}
