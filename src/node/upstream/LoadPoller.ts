import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import { loadReportSchema } from '../../common/schema/loadReportSchema.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { IUpstreamObserver } from '../../common/upstream/IUpstreamObserver.js'
import type { IUpstreamTable } from '../../common/upstream/IUpstreamTable.js'
import type { Upstream } from '../../common/upstream/Upstream.js'
import { upstreamClientId } from '../../common/upstream/client/upstreamClientId.js'
import { upstreamObserverId } from '../../common/upstream/upstreamObserverId.js'
import { upstreamTableId } from '../../common/upstream/upstreamTableId.js'
import { fetchJson } from './fetchJson.js'
import { addJitter } from './addJitter.js'

const MAX_POLL_TIMEOUT_MS = 1_000
/** Interval before the first probe of an upstream that is down; doubled after each probe, up to the poll interval. */
const INITIAL_PROBE_INTERVAL_MS = 100
/** Shortest interval between probes of an upstream that is not down, however many of its calls fail. */
const MIN_PROBE_INTERVAL_MS = 20

interface PollState {
  timer?: NodeJS.Timeout
  /** Aborts the running poll. One per upstream, because a shared signal would warn about more than ten listeners. */
  readonly abortController: AbortController
  isRunning: boolean
  /** Whether a probe was requested while a poll was already running. */
  isProbePending: boolean
  probeIntervalMs: number
  /** `performance.now()` at the start of the last poll. */
  startedAtMs: number
}

/** Polls the load report of each upstream at staggered times, and probes an upstream without delay when its state is in doubt. */
export class LoadPoller extends Disposable {
  private readonly _polls = new Map<string, PollState>()
  private _isStopped = false

  constructor (
    @upstreamClientId private readonly _client: IUpstreamClient,
    @upstreamTableId private readonly _table: IUpstreamTable,
    @upstreamObserverId private readonly _observer: IUpstreamObserver,
    @entrySettingsId private readonly _settings: EntrySettings,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._register(toDisposable(() => this._stop()))
  }

  start (): void {
    this._register(this._table.onChange((upstream) => this._startPolling(upstream)))
    this._register(this._observer.onProbeRequested((upstream) => this._scheduleProbe(upstream)))
    for (const upstream of this._table.all()) {
      this._startPolling(upstream)
    }
  }

  private _startPolling (upstream: Upstream): void {
    if (this._isStopped || this._polls.has(upstream.id) || this._table.get(upstream.id) === undefined) {
      return
    }
    const poll: PollState = {
      abortController: new AbortController(),
      isRunning: false,
      isProbePending: false,
      probeIntervalMs: INITIAL_PROBE_INTERVAL_MS,
      startedAtMs: -Infinity
    }
    this._polls.set(upstream.id, poll)
    // A random initial delay staggers the polls of upstreams that were added by the same membership list.
    this._schedule(upstream.id, poll, Math.random() * this._settings.loadPollMs)
  }

  private _scheduleProbe (upstream: Upstream): void {
    const poll = this._polls.get(upstream.id)
    if (poll === undefined) {
      return
    }
    if (poll.isRunning) {
      poll.isProbePending = true
    } else if (!upstream.isDown) {
      this._schedule(upstream.id, poll, Math.max(0, poll.startedAtMs + MIN_PROBE_INTERVAL_MS - performance.now()))
    } else {
      this._schedule(upstream.id, poll, addJitter(poll.probeIntervalMs))
    }
  }

  private _schedule (upstreamId: string, poll: PollState, delayMs: number): void {
    clearTimeout(poll.timer)
    poll.timer = setTimeout(() => {
      poll.isRunning = true
      this._poll(upstreamId, poll).catch(() => this._metrics.count('load_poll_faults_total'))
    }, delayMs)
  }

  private async _poll (upstreamId: string, poll: PollState): Promise<void> {
    const upstream = this._table.get(upstreamId)
    if (upstream === undefined) {
      this._polls.delete(upstreamId)
      return
    }
    const startedAtMs = performance.now()
    poll.startedAtMs = startedAtMs
    const timeoutMs = Math.min(MAX_POLL_TIMEOUT_MS, this._settings.loadPollMs)
    const response = await fetchJson(this._client, upstream.address, '/v1/load', timeoutMs, poll.abortController.signal)
    poll.isRunning = false
    if (this._isStopped) {
      return
    }
    const report = loadReportSchema.safeParse(response.isOk() ? response.value.document : undefined)
    if (report.success) {
      this._observer.updateLoad(upstreamId, report.data, startedAtMs)
    } else {
      this._metrics.count('load_poll_failures_total', { service: upstream.service })
      this._observer.reportPollFailure(upstreamId, response.isErr() && response.error.isConnectFailure)
    }
    this._schedule(upstreamId, poll, this._nextDelayMs(upstreamId, poll))
  }

  private _nextDelayMs (upstreamId: string, poll: PollState): number {
    const isProbePending = poll.isProbePending
    poll.isProbePending = false
    if (this._table.get(upstreamId)?.isDown === true) {
      const probeIntervalMs = poll.probeIntervalMs
      poll.probeIntervalMs = Math.min(probeIntervalMs * 2, Math.max(INITIAL_PROBE_INTERVAL_MS, this._settings.loadPollMs))
      return addJitter(probeIntervalMs)
    }
    poll.probeIntervalMs = INITIAL_PROBE_INTERVAL_MS
    return isProbePending ? MIN_PROBE_INTERVAL_MS : addJitter(this._settings.loadPollMs)
  }

  private _stop (): void {
    this._isStopped = true
    for (const poll of this._polls.values()) {
      poll.abortController.abort()
      clearTimeout(poll.timer)
    }
    this._polls.clear()
  }
}
