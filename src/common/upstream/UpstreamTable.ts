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

/** Resets without a completion in between after which an upstream counts as down. */
const MAX_CONSECUTIVE_RESETS = 6
/** Polls without an answer after which an upstream that completes nothing counts as down. */
const MAX_CONSECUTIVE_POLL_TIMEOUTS = 3
const RECENT_COMPLETION_MS = 2_000

/** IUpstreamTable in memory; also the sink of the pollers and of this entry's own requests. */
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
      list = [...this._upstreams.values()].filter((record) => record.service === service && !record.isLeaving && !record.isDown)
      this._availableByService.set(service, list)
    }
    return list
  }

  all (service?: string): Upstream[] {
    const records = [...this._upstreams.values()]
    return service === undefined ? records : records.filter((record) => record.service === service)
  }

  updateMembers (members: Member[]): void {
    const listed = new Set<string>()
    for (const member of members) {
      if (member.role !== 'upstream' || member.service === undefined) continue
      listed.add(member.id)
      this._updateMember(member)
    }
    for (const record of [...this._upstreams.values()]) {
      if (!listed.has(record.id)) {
        this._upstreams.delete(record.id)
        this._applyChange(record, () => { record.isLeaving = true }, 'removed')
      }
    }
  }

  markLeaving (upstreamId: string, incarnation: string): void {
    const record = this._upstreams.get(upstreamId)
    if (record !== undefined) {
      this._applyChange(record, () => record.markLeaving(incarnation), 'gossip')
    }
  }

  updatePeerOutstanding (upstreamId: string, outstanding: number): void {
    const record = this._upstreams.get(upstreamId)
    if (record !== undefined) {
      record.peerOutstanding = outstanding
    }
  }

  reportFailure (upstreamId: string, sent = true): void {
    const record = this._upstreams.get(upstreamId)
    if (record === undefined) {
      return
    }
    record.consecutiveFailures++
    if (!sent) {
      this._handleRefusal(record)
    } else if (record.consecutiveFailures >= MAX_CONSECUTIVE_RESETS) {
      this._markDown(record, 'reset')
    }
    this._onProbeRequested.fire(record)
  }

  updateLoad (upstreamId: string, report: LoadReport, startedAtMs: number): void {
    const record = this._upstreams.get(upstreamId)
    if (record === undefined) {
      return
    }
    const nowMs = performance.now()
    this._applyChange(record, () => {
      if (record.updateLoad(report, nowMs)) {
        this._reportCrash(record, 'boot id')
        record.startBoot(report)
      }
      // An answer to a poll sent before the failure does not show that the upstream is back.
      if (record.isDown && startedAtMs >= record.downSinceMs) {
        record.recover(nowMs)
      }
    }, 'load report')
  }

  reportPollFailure (upstreamId: string, isRefused: boolean): void {
    const record = this._upstreams.get(upstreamId)
    if (record === undefined) {
      return
    }
    record.consecutivePollFailures++
    if (isRefused) {
      this._handleRefusal(record)
      return
    }
    const isIdle = performance.now() - record.lastCompletionAtMs > RECENT_COMPLETION_MS
    if (record.consecutivePollFailures >= MAX_CONSECUTIVE_POLL_TIMEOUTS && isIdle) {
      this._markDown(record, 'poll timeout')
    }
  }

  beginRequest (upstreamId: string, work: Omit<InFlightRequest, 'startedAtMs'>): InFlightRequest {
    const request = { ...work, units: Math.max(1, work.units), startedAtMs: performance.now() }
    const record = this._upstreams.get(upstreamId)
    if (record !== undefined) {
      record.inFlight.add(request)
      this._updateOutstanding(record)
    }
    return request
  }

  endRequest (upstreamId: string, request: InFlightRequest, result: SlotResult): void {
    const record = this._upstreams.get(upstreamId)
    if (record === undefined || !record.inFlight.delete(request)) {
      return
    }
    this._updateOutstanding(record)
    const nowMs = performance.now()
    if (result.kind === 'completed') {
      record.lastCompletionAtMs = nowMs
      record.consecutiveFailures = 0
      record.times.record(request.size, result.durationMs / Math.max(1, result.units), request.startedAtMs, nowMs)
      record.unitTimeMs = record.times.smoothed('short') ?? record.times.smoothed('long') ?? 0
    } else if (result.kind === 'failed') {
      if (result.sent) {
        record.recordReset(request.fingerprint, nowMs)
      }
      this.reportFailure(upstreamId, result.sent)
    } else if (result.kind === 'moved') {
      record.times.recordLowerBound(request.size, result.durationMs / Math.max(1, result.units), nowMs)
    } else {
      if (result.kind === 'timeout' || result.kind === 'abandoned') {
        record.recordAbandoned(request.fingerprint, nowMs)
      }
      record.times.recordLowerBound(request.size, (nowMs - request.startedAtMs) / request.units, nowMs)
    }
  }

  private _updateOutstanding (record: TrackedUpstream): void {
    record.outstanding = record.inFlight.size
    record.outstandingLong = 0
    for (const request of record.inFlight) {
      if (request.size === 'long') record.outstandingLong++
    }
  }

  private _updateMember (member: Member): void {
    const known = this._upstreams.get(member.id)
    if (known === undefined) {
      const record = new TrackedUpstream(member)
      this._upstreams.set(member.id, record)
      this._availableByService.clear()
      this._logger.info({ upstream: record.id, service: record.service }, 'upstream_added')
      this._onChange.fire(record)
      return
    }
    this._applyChange(known, () => known.updateMember(member), 'membership')
  }

  private _handleRefusal (record: TrackedUpstream): void {
    const nowMs = performance.now()
    // Nobody listens any more where requests had no answer: the process died.
    if (record.hasUnresolvedRequest(nowMs)) {
      this._reportCrash(record, 'connection refused')
    }
    this._markDown(record, 'connection refused')
  }

  private _reportCrash (record: TrackedUpstream, source: string): void {
    const bootId = record.bootId
    const fingerprints = record.takeCrashSuspects(performance.now())
    if (fingerprints === undefined) {
      return
    }
    this._metrics.count('upstream_crashes_total', { service: record.service })
    this._logger.warn({ upstream: record.id, boot_id: bootId, source, in_flight: fingerprints.length }, 'upstream_crashed')
    this._onCrash.fire({ upstream: record, bootId, fingerprints })
  }

  private _markDown (record: TrackedUpstream, source: string): void {
    record.downSinceMs = performance.now()
    this._applyChange(record, () => { record.isDown = true }, source)
  }

  /** Runs a change and announces it when it altered how the upstream may be used. */
  private _applyChange (record: TrackedUpstream, change: () => void, source: string): void {
    const before = availabilityKey(record)
    change()
    if (availabilityKey(record) === before) {
      return
    }
    this._availableByService.clear()
    const { id, service, incarnation, isLeaving, isDown } = record
    this._logger.info({ upstream: id, service, incarnation, leaving: isLeaving, down: isDown, source }, 'upstream_changed')
    this._onChange.fire(record)
  }
}

function availabilityKey (record: TrackedUpstream): string {
  return [record.service, record.address, record.incarnation, record.isLeaving, record.isDown].join(' ')
}
