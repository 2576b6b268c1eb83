import type { LoadReport } from '../schema/LoadReport.js'
import type { Member } from '../schema/Member.js'
import type { InFlightRequest } from './InFlightRequest.js'
import { ServiceTimes } from './ServiceTimes.js'
import type { Upstream } from './Upstream.js'

/** Initial concurrency limit of an upstream without measurements. */
const INITIAL_LIMIT = 8
/** Concurrency limit of an upstream that has just recovered, so that its traffic grows gradually. */
const RECOVERY_LIMIT = 2
/** Time after a reset within which a refused connection or a new boot id attributes a crash to the request. */
const RESET_RETENTION_MS = 10_000
/**
 * The same for a request that timed out or whose caller disconnected. It may still be queued at the upstream
 * and crash it later; without this, callers with short deadlines could crash one upstream after another undetected.
 */
const ABANDONED_RETENTION_MS = 2_000

/** Mutable state of one upstream in the upstream table, with what crash detection needs. */
export class TrackedUpstream implements Upstream {
  readonly id: string
  service: string
  address: string
  failureDomain: string
  incarnation: string
  isLeaving = false
  isDown = false
  load?: LoadReport
  loadReadAtMs?: number
  outstanding = 0
  outstandingLong = 0
  outstandingAtReport?: number
  peerOutstanding = 0
  unitTimeMs = 0
  limit = INITIAL_LIMIT
  recoveredAtMs?: number
  readonly inFlight = new Set<InFlightRequest>()
  readonly times = new ServiceTimes()
  downSinceMs = 0
  consecutiveFailures = 0
  consecutivePollFailures = 0
  lastCompletionAtMs = -Infinity
  private _bootId?: string
  private _crashedBootId?: string
  /** Incarnation that was leaving and has restarted with a new boot id; the membership list may still show it as leaving for a while. */
  private _restartedIncarnation?: string
  /** Requests that ended without a response and may still be running on this boot. */
  private _unresolved: Array<{ fingerprint: string, untilMs: number }> = []

  constructor (member: Member) {
    this.id = member.id
    this.service = member.service ?? ''
    this.address = member.address
    this.failureDomain = member.failure_domain
    this.incarnation = member.incarnation
    this.isLeaving = member.state === 'leaving'
  }

  /** Boot id from the load reports, or a substitute before the first one. */
  get bootId (): string {
    return this._bootId ?? `incarnation-${this.incarnation}`
  }

  /** Applies this upstream's data from the membership list; the leaving state stays until a new incarnation. */
  updateMember (member: Member): void {
    if (member.incarnation !== this.incarnation) {
      this.incarnation = member.incarnation
      this.isLeaving = false
      this._restartedIncarnation = undefined
    }
    if (member.state === 'live') {
      this._restartedIncarnation = undefined
    }
    this.service = member.service ?? ''
    this.address = member.address
    this.failureDomain = member.failure_domain
    if (member.state === 'leaving') {
      this.markLeaving(member.incarnation)
    }
  }

  markLeaving (incarnation: string): void {
    if (incarnation === this.incarnation && incarnation !== this._restartedIncarnation) {
      this.isLeaving = true
    }
  }

  /** Applies a load report; returns true when its boot id differs from the known one. */
  updateLoad (report: LoadReport, nowMs: number): boolean {
    const isNewBoot = this._bootId !== undefined && report.boot_id !== this._bootId
    this.load = report
    this.loadReadAtMs = nowMs
    this.outstandingAtReport = this.outstanding
    this.consecutivePollFailures = 0
    if (!isNewBoot) {
      this._bootId = report.boot_id
      this.isLeaving ||= report.state === 'leaving'
    }
    return isNewBoot
  }

  /** Resets the state for a new boot, including the leaving state of the previous one. */
  startBoot (report: LoadReport): void {
    if (this.isLeaving) {
      this._restartedIncarnation = this.incarnation
    }
    this._bootId = report.boot_id
    this._unresolved = []
    this.isLeaving = report.state === 'leaving'
  }

  recover (nowMs: number): void {
    this.isDown = false
    this.consecutiveFailures = 0
    this.recoveredAtMs = nowMs
    this.limit = RECOVERY_LIMIT
  }

  recordReset (fingerprint: string, nowMs: number): void {
    this._addUnresolved(fingerprint, nowMs, RESET_RETENTION_MS)
  }

  recordAbandoned (fingerprint: string, nowMs: number): void {
    this._addUnresolved(fingerprint, nowMs, ABANDONED_RETENTION_MS)
  }

  /** True when a request that ended without a response may still have been running until now. */
  hasUnresolvedRequest (nowMs: number): boolean {
    return this._unresolved.some(({ untilMs }) => nowMs <= untilMs)
  }

  /** Fingerprints of the requests that may have caused the crash of this boot, or `undefined` when it was reported already. */
  takeCrashSuspects (nowMs: number): string[] | undefined {
    if (this._crashedBootId === this.bootId) {
      return undefined
    }
    this._crashedBootId = this.bootId
    const unresolved = this._unresolved.filter(({ untilMs }) => nowMs <= untilMs)
    const fingerprints = [...unresolved, ...this.inFlight].map((request) => request.fingerprint)
    this._unresolved = []
    // The platform may stop a leaving upstream while requests are in flight; that is no crash.
    return this.isLeaving ? [] : [...new Set(fingerprints)]
  }

  private _addUnresolved (fingerprint: string, nowMs: number, retentionMs: number): void {
    this._unresolved = this._unresolved.filter(({ untilMs }) => nowMs <= untilMs)
    this._unresolved.push({ fingerprint, untilMs: nowMs + retentionMs })
  }
}
