import type { LoadReport } from '../schema/LoadReport.js'
import type { Member } from '../schema/Member.js'
import type { InFlightRequest } from './InFlightRequest.js'
import { ServiceTimes } from './ServiceTimes.js'
import type { Upstream } from './Upstream.js'

/** First limit of an upstream that has not been measured. */
const INITIAL_LIMIT = 8
/** Limit of an upstream that has just come back, so that its traffic grows gradually. */
const RECOVERY_LIMIT = 2
/** Time after a reset within which a refused connection or a new boot id makes it a crash. */
const RESET_RETENTION_MS = 10_000
/**
 * The same after a request whose caller left or whose deadline passed. It may wait at the upstream and
 * crash it later, so that callers with short deadlines would crash one upstream after the other unnoticed.
 */
const ABANDONED_RETENTION_MS = 2_000

/** One upstream of the table, with the states that the interface combines. */
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
  /** Incarnation whose leaving state ended with a newer boot id; the list may still show it for a while. */
  private _restartedIncarnation?: string
  /** Requests without an answer that may have run when this boot ended. */
  private _unresolved: Array<{ fingerprint: string, untilMs: number }> = []

  constructor (member: Member) {
    this.id = member.id
    this.service = member.service ?? ''
    this.address = member.address
    this.failureDomain = member.failure_domain
    this.incarnation = member.incarnation
    this.isLeaving = member.state === 'leaving'
  }

  get bootId (): string {
    return this._bootId ?? `incarnation-${this.incarnation}`
  }

  /** Takes over the membership list's view; leaving stays until a new incarnation. */
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

  /** Takes over a load report; returns true when the boot id known so far has ended. */
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

  /** Starts the state of a new boot; the old boot's leaving state ends with it. */
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

  /** True when a request without an answer may have run until now. */
  hasUnresolvedRequest (nowMs: number): boolean {
    return this._unresolved.some(({ untilMs }) => nowMs <= untilMs)
  }

  /** Fingerprints to blame for the end of this boot, or `undefined` when it was reported already. */
  takeCrashSuspects (nowMs: number): string[] | undefined {
    if (this._crashedBootId === this.bootId) {
      return undefined
    }
    this._crashedBootId = this.bootId
    const open = this._unresolved.filter(({ untilMs }) => nowMs <= untilMs)
    const fingerprints = [...open, ...this.inFlight].map((request) => request.fingerprint)
    this._unresolved = []
    // The platform may cut off what is left on an upstream that leaves; that is no crash.
    return this.isLeaving ? [] : [...new Set(fingerprints)]
  }

  private _addUnresolved (fingerprint: string, nowMs: number, memoryMs: number): void {
    this._unresolved = this._unresolved.filter(({ untilMs }) => nowMs <= untilMs)
    this._unresolved.push({ fingerprint, untilMs: nowMs + memoryMs })
  }
}
