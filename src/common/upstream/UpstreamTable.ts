import type { SlotResult } from '../admission/SlotResult.js'
import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import type { LoadReport } from '../schema/LoadReport.js'
import type { Member } from '../schema/Member.js'
import type { InFlightRequest } from './InFlightRequest.js'
import type { IUpstreamObserver } from './IUpstreamObserver.js'
import type { IUpstreamTable } from './IUpstreamTable.js'
import type { IUpstreamUsage } from './IUpstreamUsage.js'
import type { Upstream } from './Upstream.js'
import type { UpstreamCrash } from './UpstreamCrash.js'
import { TrackedUpstream } from './TrackedUpstream.js'

/** Number of failed requests without a completed one in between after which an upstream is marked down. */
const MAX_CONSECUTIVE_FAILURES = 6
/** Number of polls without a response after which an upstream without recent completions is marked down. */
const MAX_CONSECUTIVE_POLL_TIMEOUTS = 3
/** Age up to which a completion counts as recent. */
const RECENT_COMPLETION_MS = 2_000

/** IUpstreamTable in memory, which also receives the poll results and tracks this entry's own requests. */
export class UpstreamTable extends Disposable implements IUpstreamTable, IUpstreamUsage, IUpstreamObserver {
  private readonly _upstreams = new Map<string, TrackedUpstream>()
  private readonly _availableByService = new Map<string, TrackedUpstream[]>()
  private readonly _onChange = this._register(new Emitter<Upstream>())
  private readonly _onCrash = this._register(new Emitter<UpstreamCrash>())
  private readonly _onProbeRequested = this._register(new Emitter<Upstream>())
  readonly onChange = this._onChange.event
  readonly onCrash = this._onCrash.event
  readonly onProbeRequested = this._onProbeRequested.event

  constructor (
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
  }

  get (upstreamId: string): Upstream | undefined {
    return this._upstreams.get(upstreamId)
  }

  available (service: string): Upstream[] {
    let list = this._availableByService.get(service)
    if (list === undefined) {
      list = [...this._upstreams.values()].filter((upstream) => upstream.service === service && !upstream.isLeaving && !upstream.isDown)
      this._availableByService.set(service, list)
    }
    return list
  }

  all (service?: string): Upstream[] {
    const upstreams = [...this._upstreams.values()]
    return service === undefined ? upstreams : upstreams.filter((upstream) => upstream.service === service)
  }

  updateMembers (members: Member[]): void {
    const listed = new Set<string>()
    for (const member of members) {
      if (member.role !== 'upstream' || member.service === undefined) continue
      listed.add(member.id)
      this._updateMember(member)
    }
    for (const upstream of [...this._upstreams.values()]) {
      if (!listed.has(upstream.id)) {
        this._upstreams.delete(upstream.id)
        this._applyChange(upstream, () => { upstream.isLeaving = true }, 'removed')
      }
    }
  }

  markLeaving (upstreamId: string, incarnation: string): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream !== undefined) {
      this._applyChange(upstream, () => upstream.markLeaving(incarnation), 'gossip')
    }
  }

  updatePeerOutstanding (upstreamId: string, outstanding: number): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream !== undefined) {
      upstream.peerOutstanding = outstanding
    }
  }

  reportFailure (upstreamId: string, sent = true): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream === undefined) {
      return
    }
    upstream.consecutiveFailures++
    if (!sent) {
      this._handleRefusedConnection(upstream)
    } else if (upstream.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
      this._markDown(upstream, 'reset')
    }
    this._onProbeRequested.fire(upstream)
  }

  updateLoad (upstreamId: string, report: LoadReport, startedAtMs: number): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream === undefined) {
      return
    }
    const nowMs = performance.now()
    this._applyChange(upstream, () => {
      if (upstream.updateLoad(report, nowMs)) {
        this._reportCrash(upstream, 'boot id')
        upstream.startBoot(report)
      }
      // A response to a poll sent before the failure does not prove that the upstream has recovered.
      if (upstream.isDown && startedAtMs >= upstream.downSinceMs) {
        upstream.recover(nowMs)
      }
    }, 'load report')
  }

  reportPollFailure (upstreamId: string, isConnectFailure: boolean): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream === undefined) {
      return
    }
    upstream.consecutivePollFailures++
    if (isConnectFailure) {
      this._handleRefusedConnection(upstream)
      return
    }
    const hasNoRecentCompletion = performance.now() - upstream.lastCompletionAtMs > RECENT_COMPLETION_MS
    if (upstream.consecutivePollFailures >= MAX_CONSECUTIVE_POLL_TIMEOUTS && hasNoRecentCompletion) {
      this._markDown(upstream, 'poll timeout')
    }
  }

  beginRequest (upstreamId: string, work: Omit<InFlightRequest, 'startedAtMs'>): InFlightRequest {
    const request = { ...work, units: Math.max(1, work.units), startedAtMs: performance.now() }
    const upstream = this._upstreams.get(upstreamId)
    if (upstream !== undefined) {
      upstream.inFlight.add(request)
      this._updateOutstanding(upstream)
    }
    return request
  }

  endRequest (upstreamId: string, request: InFlightRequest, result: SlotResult): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream === undefined || !upstream.inFlight.delete(request)) {
      return
    }
    this._updateOutstanding(upstream)
    const nowMs = performance.now()
    if (result.kind === 'completed') {
      upstream.lastCompletionAtMs = nowMs
      upstream.consecutiveFailures = 0
      upstream.times.record(request.size, result.durationMs / Math.max(1, result.units), request.startedAtMs, nowMs)
      upstream.unitTimeMs = upstream.times.smoothed('short') ?? upstream.times.smoothed('long') ?? 0
    } else if (result.kind === 'failed') {
      if (result.sent) {
        upstream.recordReset(request.fingerprint, nowMs)
      }
      this.reportFailure(upstreamId, result.sent)
    } else if (result.kind === 'moved') {
      upstream.times.recordLowerBound(request.size, result.durationMs / Math.max(1, result.units), nowMs)
    } else {
      if (result.kind === 'timeout' || result.kind === 'abandoned') {
        upstream.recordAbandoned(request.fingerprint, nowMs)
      }
      upstream.times.recordLowerBound(request.size, (nowMs - request.startedAtMs) / request.units, nowMs)
    }
  }

  private _updateOutstanding (upstream: TrackedUpstream): void {
    upstream.outstanding = upstream.inFlight.size
    upstream.outstandingLong = 0
    for (const request of upstream.inFlight) {
      if (request.size === 'long') upstream.outstandingLong++
    }
  }

  private _updateMember (member: Member): void {
    const known = this._upstreams.get(member.id)
    if (known === undefined) {
      const upstream = new TrackedUpstream(member)
      this._upstreams.set(member.id, upstream)
      this._availableByService.clear()
      this._logger.info({ upstream: upstream.id, service: upstream.service }, 'upstream_added')
      this._onChange.fire(upstream)
      return
    }
    this._applyChange(known, () => known.updateMember(member), 'membership')
  }

  private _handleRefusedConnection (upstream: TrackedUpstream): void {
    const nowMs = performance.now()
    // A refused connection after requests ended without a response means that the process has crashed.
    if (upstream.hasUnresolvedRequest(nowMs)) {
      this._reportCrash(upstream, 'connection refused')
    }
    this._markDown(upstream, 'connection refused')
  }

  private _reportCrash (upstream: TrackedUpstream, source: string): void {
    const bootId = upstream.bootId
    const fingerprints = upstream.takeCrashSuspects(performance.now())
    if (fingerprints === undefined) {
      return
    }
    this._metrics.count('upstream_crashes_total', { service: upstream.service })
    this._logger.warn({ upstream: upstream.id, boot_id: bootId, source, in_flight: fingerprints.length }, 'upstream_crashed')
    this._onCrash.fire({ upstream, bootId, fingerprints })
  }

  private _markDown (upstream: TrackedUpstream, source: string): void {
    upstream.downSinceMs = performance.now()
    this._applyChange(upstream, () => { upstream.isDown = true }, source)
  }

  /** Applies a change and fires `onChange` if it alters the availability, service, address or incarnation of the upstream. */
  private _applyChange (upstream: TrackedUpstream, change: () => void, source: string): void {
    const keyBefore = availabilityKey(upstream)
    change()
    if (availabilityKey(upstream) === keyBefore) {
      return
    }
    this._availableByService.clear()
    const { id, service, incarnation, isLeaving, isDown } = upstream
    this._logger.info({ upstream: id, service, incarnation, leaving: isLeaving, down: isDown, source }, 'upstream_changed')
    this._onChange.fire(upstream)
  }
}

function availabilityKey (upstream: TrackedUpstream): string {
  return [upstream.service, upstream.address, upstream.incarnation, upstream.isLeaving, upstream.isDown].join(' ')
}
