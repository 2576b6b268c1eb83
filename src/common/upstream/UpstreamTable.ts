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
import { UpstreamRecord } from './UpstreamRecord.js'

/** Resets without a completion in between after which an upstream counts as down. */
const MAX_RESETS_IN_ROW = 6
/** Polls without an answer after which an upstream that completes nothing counts as down. */
const MAX_POLL_TIMEOUTS_IN_ROW = 3
const RECENT_COMPLETION_MS = 2_000

/** IUpstreamTable in memory; also the sink of the pollers and of this entry's own requests. */
export class UpstreamTable extends Disposable implements IUpstreamTable, IUpstreamUsage, IUpstreamObserver {
  private readonly _records = new Map<string, UpstreamRecord>()
  private readonly _availableByService = new Map<string, UpstreamRecord[]>()
  private readonly _onChange = this._register(new Emitter<Upstream>())
  private readonly _onCrash = this._register(new Emitter<UpstreamCrash>())
  private readonly _onProbeWanted = this._register(new Emitter<Upstream>())
  readonly onChange = this._onChange.event
  readonly onCrash = this._onCrash.event
  readonly onProbeWanted = this._onProbeWanted.event

  constructor (
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
  }

  get (upstreamId: string): Upstream | undefined {
    return this._records.get(upstreamId)
  }

  available (service: string): Upstream[] {
    let list = this._availableByService.get(service)
    if (list === undefined) {
      list = [...this._records.values()].filter((record) => record.service === service && !record.isLeaving && !record.isDown)
      this._availableByService.set(service, list)
    }
    return list
  }

  all (service?: string): Upstream[] {
    const records = [...this._records.values()]
    return service === undefined ? records : records.filter((record) => record.service === service)
  }

  updateMembers (members: Member[]): void {
    const listed = new Set<string>()
    for (const member of members) {
      if (member.role !== 'upstream' || member.service === undefined) continue
      listed.add(member.id)
      this._updateMember(member)
    }
    for (const record of [...this._records.values()]) {
      if (!listed.has(record.id)) {
        this._records.delete(record.id)
        this._changing(record, () => { record.isLeaving = true }, 'removed')
      }
    }
  }

  markLeaving (upstreamId: string, incarnation: string): void {
    const record = this._records.get(upstreamId)
    if (record !== undefined) {
      this._changing(record, () => record.markLeaving(incarnation), 'gossip')
    }
  }

  updatePeerOutstanding (upstreamId: string, outstanding: number): void {
    const record = this._records.get(upstreamId)
    if (record !== undefined) {
      record.peerOutstanding = outstanding
    }
  }

  reportFailure (upstreamId: string, sent = true): void {
    const record = this._records.get(upstreamId)
    if (record === undefined) {
      return
    }
    record.failuresInRow++
    if (!sent) {
      this._onRefused(record)
    } else if (record.failuresInRow >= MAX_RESETS_IN_ROW) {
      this._markDown(record, 'reset')
    }
    this._onProbeWanted.fire(record)
  }

  updateLoad (upstreamId: string, report: LoadReport, startedAtMs: number): void {
    const record = this._records.get(upstreamId)
    if (record === undefined) {
      return
    }
    const nowMs = performance.now()
    this._changing(record, () => {
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
    const record = this._records.get(upstreamId)
    if (record === undefined) {
      return
    }
    record.pollFailuresInRow++
    if (isRefused) {
      this._onRefused(record)
      return
    }
    const isIdle = performance.now() - record.lastCompletionMs > RECENT_COMPLETION_MS
    if (record.pollFailuresInRow >= MAX_POLL_TIMEOUTS_IN_ROW && isIdle) {
      this._markDown(record, 'poll timeout')
    }
  }

  begin (upstreamId: string, work: Omit<InFlightRequest, 'startedAtMs'>): InFlightRequest {
    const request = { ...work, units: Math.max(1, work.units), startedAtMs: performance.now() }
    const record = this._records.get(upstreamId)
    if (record !== undefined) {
      record.inFlight.add(request)
      this._countOutstanding(record)
    }
    return request
  }

  end (upstreamId: string, request: InFlightRequest, result: SlotResult): void {
    const record = this._records.get(upstreamId)
    if (record === undefined || !record.inFlight.delete(request)) {
      return
    }
    this._countOutstanding(record)
    const nowMs = performance.now()
    if (result.kind === 'completed') {
      record.lastCompletionMs = nowMs
      record.failuresInRow = 0
      record.times.record(request.size, result.durationMs / Math.max(1, result.units), request.startedAtMs, nowMs)
      record.unitTimeMs = record.times.smoothed('short') ?? record.times.smoothed('long') ?? 0
    } else if (result.kind === 'failed') {
      if (result.sent) {
        record.recordReset(request.fingerprint, nowMs)
      }
      this.reportFailure(upstreamId, result.sent)
    } else if (result.kind === 'moved') {
      record.times.recordAtLeast(request.size, result.durationMs / Math.max(1, result.units), nowMs)
    } else {
      if (result.kind === 'timeout' || result.kind === 'abandoned') {
        record.recordAbandoned(request.fingerprint, nowMs)
      }
      record.times.recordAtLeast(request.size, (nowMs - request.startedAtMs) / request.units, nowMs)
    }
  }

  private _countOutstanding (record: UpstreamRecord): void {
    record.outstanding = record.inFlight.size
    record.outstandingLong = 0
    for (const request of record.inFlight) {
      if (request.size === 'long') record.outstandingLong++
    }
  }

  private _updateMember (member: Member): void {
    const known = this._records.get(member.id)
    if (known === undefined) {
      const record = new UpstreamRecord(member)
      this._records.set(member.id, record)
      this._availableByService.clear()
      this._logger.info({ upstream: record.id, service: record.service }, 'upstream_added')
      this._onChange.fire(record)
      return
    }
    this._changing(known, () => known.updateMember(member), 'membership')
  }

  private _onRefused (record: UpstreamRecord): void {
    const nowMs = performance.now()
    // Nobody listens any more where requests had no answer: the process died.
    if (record.hasOpenRequest(nowMs)) {
      this._reportCrash(record, 'connection refused')
    }
    this._markDown(record, 'connection refused')
  }

  private _reportCrash (record: UpstreamRecord, source: string): void {
    const bootId = record.bootId
    const fingerprints = record.takeCrash(performance.now())
    if (fingerprints === undefined) {
      return
    }
    this._metrics.count('upstream_crashes_total', { service: record.service })
    this._logger.warn({ upstream: record.id, boot_id: bootId, source, in_flight: fingerprints.length }, 'upstream_crashed')
    this._onCrash.fire({ upstream: record, bootId, fingerprints })
  }

  private _markDown (record: UpstreamRecord, source: string): void {
    record.downSinceMs = performance.now()
    this._changing(record, () => { record.isDown = true }, source)
  }

  /** Runs a change and announces it when it altered how the upstream may be used. */
  private _changing (record: UpstreamRecord, change: () => void, source: string): void {
    const before = describe(record)
    change()
    if (describe(record) === before) {
      return
    }
    this._availableByService.clear()
    const { id, service, incarnation, isLeaving, isDown } = record
    this._logger.info({ upstream: id, service, incarnation, leaving: isLeaving, down: isDown, source }, 'upstream_changed')
    this._onChange.fire(record)
  }
}

function describe (record: UpstreamRecord): string {
  return [record.service, record.address, record.incarnation, record.isLeaving, record.isDown].join(' ')
}
