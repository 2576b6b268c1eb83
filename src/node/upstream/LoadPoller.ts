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

const MAX_TIMEOUT_MS = 1_000
/** First interval of the probes of an upstream that is down; it doubles up to the poll interval. */
const FIRST_PROBE_MS = 100
/** Least time between two probes of an upstream that is not down, however many of its calls fail. */
const MIN_PROBE_MS = 20

interface Poll {
  timer?: NodeJS.Timeout
  /** Ends the running poll; one for each upstream, because a signal warns about more than ten listeners. */
  readonly abort: AbortController
  isRunning: boolean
  /** A probe was wanted while a poll that began before was running. */
  isWantedAgain: boolean
  probeMs: number
  /** `performance.now()` of the last poll. */
  startedAtMs: number
}

/** Polls the load report of each upstream, spread over time, and probes those whose state is in doubt at once. */
export class LoadPoller extends Disposable {
  private readonly _polls = new Map<string, Poll>()
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
    this._register(this._table.onChange((upstream) => this._follow(upstream)))
    this._register(this._observer.onProbeRequested((upstream) => this._probe(upstream)))
    for (const upstream of this._table.all()) {
      this._follow(upstream)
    }
  }

  private _follow (upstream: Upstream): void {
    if (this._isStopped || this._polls.has(upstream.id) || this._table.get(upstream.id) === undefined) {
      return
    }
    const poll: Poll = {
      abort: new AbortController(),
      isRunning: false,
      isWantedAgain: false,
      probeMs: FIRST_PROBE_MS,
      startedAtMs: -Infinity
    }
    this._polls.set(upstream.id, poll)
    // A random first delay spreads the polls of a list that arrives at once.
    this._schedule(upstream.id, poll, Math.random() * this._settings.loadPollMs)
  }

  private _probe (upstream: Upstream): void {
    const poll = this._polls.get(upstream.id)
    if (poll === undefined) {
      return
    }
    if (poll.isRunning) {
      poll.isWantedAgain = true
    } else if (!upstream.isDown) {
      this._schedule(upstream.id, poll, Math.max(0, poll.startedAtMs + MIN_PROBE_MS - performance.now()))
    } else {
      this._schedule(upstream.id, poll, addJitter(poll.probeMs))
    }
  }

  private _schedule (upstreamId: string, poll: Poll, delayMs: number): void {
    clearTimeout(poll.timer)
    poll.timer = setTimeout(() => {
      poll.isRunning = true
      this._run(upstreamId, poll).catch(() => this._metrics.count('load_poll_faults_total'))
    }, delayMs)
  }

  private async _run (upstreamId: string, poll: Poll): Promise<void> {
    const upstream = this._table.get(upstreamId)
    if (upstream === undefined) {
      this._polls.delete(upstreamId)
      return
    }
    const startedAtMs = performance.now()
    poll.startedAtMs = startedAtMs
    const timeoutMs = Math.min(MAX_TIMEOUT_MS, this._settings.loadPollMs)
    const answer = await fetchJson(this._client, upstream.address, '/v1/load', timeoutMs, poll.abort.signal)
    poll.isRunning = false
    if (this._isStopped) {
      return
    }
    const report = loadReportSchema.safeParse(answer.isOk() ? answer.value.document : undefined)
    if (report.success) {
      this._observer.updateLoad(upstreamId, report.data, startedAtMs)
    } else {
      this._metrics.count('load_poll_failures_total', { service: upstream.service })
      this._observer.reportPollFailure(upstreamId, answer.isErr() && answer.error.isConnectFailure)
    }
    this._schedule(upstreamId, poll, this._nextDelay(upstreamId, poll))
  }

  private _nextDelay (upstreamId: string, poll: Poll): number {
    const isWantedAgain = poll.isWantedAgain
    poll.isWantedAgain = false
    if (this._table.get(upstreamId)?.isDown === true) {
      const probeMs = poll.probeMs
      poll.probeMs = Math.min(probeMs * 2, Math.max(FIRST_PROBE_MS, this._settings.loadPollMs))
      return addJitter(probeMs)
    }
    poll.probeMs = FIRST_PROBE_MS
    return isWantedAgain ? MIN_PROBE_MS : addJitter(this._settings.loadPollMs)
  }

  private _stop (): void {
    this._isStopped = true
    for (const poll of this._polls.values()) {
      poll.abort.abort()
      clearTimeout(poll.timer)
    }
    this._polls.clear()
  }
}
