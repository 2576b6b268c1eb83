import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { AbandonedRuns } from './AbandonedRuns.js'
import type { ICallSuspects } from './ICallSuspects.js'
import type { Incarnation } from './Incarnation.js'
import type { IncarnationJudge } from './IncarnationJudge.js'
import type { ISuspectStore } from './ISuspectStore.js'
import type { RunEnd } from './RunEnd.js'
import { Suspect } from './Suspect.js'
import type { SuspectAdmission } from './SuspectAdmission.js'
import type { SuspectRecord } from './SuspectRecord.js'
import type { RunWithoutResponse } from './RunWithoutResponse.js'

const CHECK_INTERVAL_MS = 250
/** A check that is later than this shows that the process was paused. */
const PAUSE_MS = 1000
/** Time for a request to complete at another upstream before its crash is published; sound requests mostly do. */
const PUBLISH_DELAY_MS = 200
/** Time after which a request that was rejected is forgotten if it has not come again. */
const REJECTED_RETENTION_MS = 3_600_000
/** Time after its last crash after which another suspect is forgotten. */
const RETENTION_MS = 600_000
/** Time after which a break is forgotten if nothing tells whether its upstream has ended. */
const UNCONFIRMED_RETENTION_MS = 30_000
const MAX_SUSPECTS = 2048
/** Retry-After of a request whose trial another entry makes. */
const CLAIMED_RETRY_AFTER_MS = 1000
/** Retry-After of a request that has failed its last trial. */
const REJECTED_RETRY_AFTER_MS = 60_000

/**
 * ICallSuspects with crashes that the store shares between all entries. A run that broke counts as a crash at once, and no
 * longer once its upstream proves to be alive; a run that was abandoned counts once its upstream proves to have ended.
 * A completed run clears the request.
 */
export class CallSuspects extends Disposable implements ICallSuspects {
  private readonly _suspects = new Map<string, Suspect>()
  private readonly _abandonedRuns = new AbandonedRuns()
  private _timer?: NodeJS.Timeout

  /** `_isSweeper` tells whether this entry deletes the records of suspects that are forgotten; one entry does. */
  constructor (
    private readonly _shared: ISuspectStore,
    private readonly _judge: IncarnationJudge,
    private readonly _isSweeper: () => boolean,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(_shared.onRecord(record => this._onRecord(record)))
    this._register(toDisposable(() => clearTimeout(this._timer)))
  }

  async admit (fingerprint: string): Promise<SuspectAdmission> {
    const suspect = this._suspects.get(fingerprint)
    if (suspect === undefined || !suspect.isRejected) return { kind: 'admitted' }
    const waitMs = suspect.trialAtMs - performance.now()
    if (waitMs === Number.POSITIVE_INFINITY) this._renew(suspect)
    if (waitMs > 0) return this._reject(suspect, Math.min(waitMs, REJECTED_RETRY_AFTER_MS))
    // Other sendings that arrive while the claim is decided are rejected.
    suspect.recordTrial(performance.now())
    if (!await this._shared.claimTrial(fingerprint)) return this._reject(suspect, CLAIMED_RETRY_AFTER_MS)
    this._logger.warn({ fingerprint, crashes: suspect.crashCount }, 'suspect_trial_started')
    this._metrics.count('suspect_calls', { outcome: 'trial' })
    return { kind: 'trial' }
  }

  mayStartAttempt (fingerprint: string, running: number): boolean {
    return this._suspects.get(fingerprint)?.mayStart(running) ?? true
  }

  recordRun (fingerprint: string, upstream: FleetUpstream, end: RunEnd, sentAtMs: number): void {
    if (end === 'responded') return this._clear(fingerprint)
    // The stop of an upstream that leaves cuts off its last runs, whatever they are.
    if (upstream.isLeaving) return
    const { id, startedAtMs } = upstream.member
    const run = { fingerprint, upstreamId: id, startedAtMs, restarts: 0, sentAtMs, sinceMs: performance.now() }
    if (end === 'broken') this._addOwnCrash(run)
    else this._abandonedRuns.add(run)
    this._scheduleCheck()
  }

  /** Keeps the memory of a suspect that keeps coming after its last trial. */
  private _renew (suspect: Suspect): void {
    if (performance.now() - suspect.lastActivityAtMs < REJECTED_RETENTION_MS / 2) return
    suspect.recordActivity(performance.now())
    this._shared.renewTrial(suspect.fingerprint)
  }

  private _reject (suspect: Suspect, retryAfterMs: number): SuspectAdmission {
    const { fingerprint, crashCount } = suspect
    this._logger.warn({ fingerprint, crashes: crashCount, retry_after_ms: Math.round(retryAfterMs) }, 'suspect_refused')
    this._metrics.count('suspect_calls', { outcome: 'refused' })
    return { kind: 'refused', retryAfterMs }
  }

  private _addOwnCrash ({ fingerprint, upstreamId, startedAtMs, sentAtMs, sinceMs }: RunWithoutResponse): void {
    const suspect = this._getOrAdd(fingerprint)
    const incarnation = suspect.nextIncarnation({ upstreamId, startedAtMs, restarts: 0 }, sentAtMs)
    suspect.add({ ...incarnation, sinceMs, isOwn: true, isPublished: false }, sinceMs)
    this._logger.info({ fingerprint, upstream: upstreamId, born_at_ms: startedAtMs, crashes: suspect.crashCount }, 'crash_suspected')
    this._metrics.count('suspected_crashes')
  }

  private _getOrAdd (fingerprint: string): Suspect {
    const known = this._suspects.get(fingerprint)
    if (known !== undefined) return known
    if (this._suspects.size >= MAX_SUSPECTS) this._evictOne()
    const suspect = new Suspect(fingerprint)
    this._suspects.set(fingerprint, suspect)
    return suspect
  }

  /** Evicts the oldest suspect, one that is rejected only if all are. */
  private _evictOne (): void {
    const suspects = [...this._suspects.values()]
    const oldest = suspects.find(suspect => !suspect.isRejected) ?? suspects[0]
    if (oldest !== undefined) this._forget(oldest, this._isSweeper())
  }

  private _clear (fingerprint: string): void {
    this._abandonedRuns.remove(fingerprint)
    const suspect = this._suspects.get(fingerprint)
    if (suspect === undefined) return
    this._logger.info({ fingerprint, crashes: suspect.crashCount }, 'suspect_cleared')
    this._forget(suspect, true)
  }

  private _forget (suspect: Suspect, isDeletedFromStore: boolean): void {
    const { fingerprint, crashes, hasTrial } = suspect
    this._suspects.delete(fingerprint)
    if (!isDeletedFromStore) return
    for (const crash of crashes) if (crash.isPublished) this._shared.withdraw(fingerprint, crash)
    if (hasTrial) this._shared.withdrawTrial(fingerprint)
  }

  private _scheduleCheck (): void {
    const dueAtMs = performance.now() + CHECK_INTERVAL_MS
    this._timer ??= setTimeout(() => {
      this._timer = undefined
      if (performance.now() > dueAtMs + PAUSE_MS) this._judge.recordPause()
      this._check()
      if (this._suspects.size > 0 || this._abandonedRuns.size > 0) this._scheduleCheck()
    }, CHECK_INTERVAL_MS)
  }

  private _check (): void {
    this._judge.refresh()
    for (const run of this._abandonedRuns.takeCrashed(this._judge)) this._addOwnCrash(run)
    for (const suspect of this._suspects.values()) this._checkSuspect(suspect)
  }

  private _checkSuspect (suspect: Suspect): void {
    const { fingerprint } = suspect
    const nowMs = performance.now()
    for (const crash of suspect.crashes) {
      const state = this._judge.judge(crash, crash.sinceMs)
      const isOutdated = state === 'unknown' && nowMs - Math.max(crash.sinceMs, this._judge.freshSinceMs) > UNCONFIRMED_RETENTION_MS
      if (state === 'alive' || isOutdated) {
        this._logger.info({ fingerprint, upstream: crash.upstreamId, state }, 'crash_disproved')
        suspect.remove(crash)
        if (crash.isOwn && crash.isPublished) this._shared.withdraw(fingerprint, crash)
      } else if (crash.isOwn && !crash.isPublished && nowMs - crash.sinceMs >= PUBLISH_DELAY_MS) {
        crash.isPublished = true
        this._shared.publish(fingerprint, crash)
      }
    }
    if (suspect.crashCount === 0) this._suspects.delete(fingerprint)
    else if (nowMs - suspect.lastActivityAtMs > (suspect.isRejected ? REJECTED_RETENTION_MS : RETENTION_MS)) this._forget(suspect, this._isSweeper())
  }

  private _onRecord (record: SuspectRecord): void {
    // Clocks of entries differ, and a record of the future would never be forgotten.
    const atMs = performance.now() - Math.max(0, Date.now() - record.atMs)
    if (record.kind === 'trial') return this._suspects.get(record.fingerprint)?.recordTrial(atMs)
    const { fingerprint, incarnation, isDeleted } = record
    if (isDeleted) return this._removeCrash(fingerprint, incarnation)
    const suspect = this._getOrAdd(fingerprint)
    const known = suspect.find(incarnation)
    if (known !== undefined) known.isPublished = true
    else suspect.add({ ...incarnation, sinceMs: performance.now(), isOwn: false, isPublished: true }, atMs)
    this._scheduleCheck()
  }

  private _removeCrash (fingerprint: string, incarnation: Incarnation): void {
    const suspect = this._suspects.get(fingerprint)
    suspect?.remove(incarnation)
    if (suspect?.crashCount === 0) this._suspects.delete(fingerprint)
  }
}
