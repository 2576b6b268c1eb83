import { Disposable } from '../kernel/Disposable.js'
import type { ILogFold } from '../log/ILogFold.js'
import type { ILogHub } from '../log/ILogHub.js'
import type { LogEntry } from '../log/LogEntry.js'
import { logHubId } from '../log/logHubId.js'
import type { ILogger } from '../metrics/ILogger.js'
import { loggerId } from '../metrics/loggerId.js'
import { claimRecordSchema } from '../schema/claimRecordSchema.js'
import type { CrashEvent } from './CrashEvent.js'
import type { ISuspectGossip } from './ISuspectGossip.js'
import type { ISuspectTable } from './ISuspectTable.js'

/** Time for which crashes are remembered. */
const CRASH_RETENTION_MS = 600_000
/** Crashes that block a request whichever others were in flight. */
const MAX_CRASHES = 3
/**
 * Time after which such a request may run once more. Requests beside one that crashes three engines
 * in a row share its crashes; 12 entries and 3 engines kept samples blocked for ten minutes that way.
 */
const TRIAL_RUN_DELAY_MS = 10_000
/** Crashes that block a request when it was the only suspect in flight at the last one. */
const MAX_CRASHES_AS_SOLE_SUSPECT = 2
/** Time for the crash records of other entries to arrive; appends are 50 ms apart and reads follow at once. */
const BLOCK_DELAY_MS = 1_000
/** The same for a request that may run again: one append and one read, with a margin for a busy host. */
const RERUN_DELAY_MS = 200
/** Time for which a peer's hint makes a request a suspect. */
const PEER_SUSPECT_RETENTION_MS = 10_000

interface Suspect {
  crashCount: number
  isSoleSuspect: boolean
  /** Time of the crash that proved the request to be the culprit. */
  confirmedAtMs?: number
  lastCrashAtMs: number
}

/** ISuspectTable on the `crash` records of the `claims` stream; add it to the log hub as a fold of that stream. */
export class SuspectTable extends Disposable implements ISuspectTable, ISuspectGossip, ILogFold {
  /** Events by upstream and boot id, in order of their first record. */
  private readonly _crashes = new Map<string, CrashEvent>()
  /** `Date.now()` of the last completion of requests that were suspects. */
  private readonly _completedAtMs = new Map<string, number>()
  private readonly _peerSuspectsAtMs = new Map<string, number>()
  private _suspects = new Map<string, Suspect>()

  constructor (
    @logHubId private readonly _log: ILogHub,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
  }

  isBlocked (fingerprint: string): boolean {
    return this._reachedCrashLimit(fingerprint) && !this.isAwaitingCrashRecords(fingerprint)
  }

  isAwaitingCrashRecords (fingerprint: string): boolean {
    const verdict = this._findSuspect(fingerprint)
    const settleMs = this._reachedCrashLimit(fingerprint) ? BLOCK_DELAY_MS : RERUN_DELAY_MS
    return verdict !== undefined && Date.now() - verdict.lastCrashAtMs < settleMs
  }

  isSuspect (fingerprint: string): boolean {
    const hintAtMs = this._peerSuspectsAtMs.get(fingerprint) ?? -Infinity
    return this._findSuspect(fingerprint) !== undefined || Date.now() - hintAtMs < PEER_SUSPECT_RETENTION_MS
  }

  recordCompletion (fingerprint: string): void {
    if (!this.isSuspect(fingerprint)) {
      return
    }
    this._peerSuspectsAtMs.delete(fingerprint)
    this._completedAtMs.set(fingerprint, Date.now())
    this._updateSuspects()
  }

  recordCrash (upstreamId: string, bootId: string, fingerprints: string[]): void {
    if (fingerprints.length === 0) {
      return
    }
    this._logger.warn({ upstream: upstreamId, boot_id: bootId, requests: fingerprints.length }, 'suspects_recorded')
    this._addCrash(upstreamId, bootId, fingerprints, Date.now())
    this._log.appendEventually('claims', {
      type: 'crash', id: crypto.randomUUID(), upstream: upstreamId, boot_id: bootId, fingerprints
    } as { id: string })
  }

  apply (entry: LogEntry): void {
    const record = claimRecordSchema.safeParse(entry.value)
    if (record.success && record.data.type === 'crash') {
      const { upstream, boot_id: bootId, fingerprints } = record.data
      this._addCrash(upstream, bootId, fingerprints, Math.min(Date.now(), entry.timeMs))
    }
  }

  /** Crash records older than retention are older than the time for which they are remembered. */
  onGap (): void {}

  suspects (): string[] {
    return [...this._suspects.entries()]
      .sort(([, left], [, right]) => right.lastCrashAtMs - left.lastCrashAtMs)
      .map(([fingerprint]) => fingerprint)
      .filter((fingerprint) => this._findSuspect(fingerprint) !== undefined)
  }

  addPeerSuspects (fingerprints: string[]): void {
    const nowMs = Date.now()
    for (const fingerprint of fingerprints) {
      const completedAtMs = this._completedAtMs.get(fingerprint) ?? -Infinity
      // A peer goes on naming a request for a while after it completed here.
      if (nowMs - completedAtMs > CRASH_RETENTION_MS) {
        this._peerSuspectsAtMs.set(fingerprint, nowMs)
      }
    }
    evictBefore(this._peerSuspectsAtMs, nowMs - PEER_SUSPECT_RETENTION_MS)
  }

  private _findSuspect (fingerprint: string): Suspect | undefined {
    const verdict = this._suspects.get(fingerprint)
    return verdict !== undefined && Date.now() - verdict.lastCrashAtMs < CRASH_RETENTION_MS ? verdict : undefined
  }

  private _reachedCrashLimit (fingerprint: string): boolean {
    const verdict = this._findSuspect(fingerprint)
    if (verdict === undefined) {
      return false
    }
    if (verdict.crashCount > MAX_CRASHES || (verdict.crashCount >= MAX_CRASHES_AS_SOLE_SUSPECT && verdict.isSoleSuspect)) {
      return true
    }
    return verdict.crashCount === MAX_CRASHES && Date.now() - verdict.lastCrashAtMs < TRIAL_RUN_DELAY_MS
  }

  private _addCrash (upstreamId: string, bootId: string, fingerprints: string[], atMs: number): void {
    if (Date.now() - atMs >= CRASH_RETENTION_MS) {
      return
    }
    const key = `${upstreamId}/${bootId}`
    const event = this._crashes.get(key) ?? { atMs, fingerprints: new Set() }
    event.atMs = Math.min(event.atMs, atMs)
    fingerprints.forEach((fingerprint) => event.fingerprints.add(fingerprint))
    this._crashes.set(key, event)
    this._updateSuspects()
  }

  /**
   * Judges all requests anew, because a late record may add suspects to an event that is known already.
   * A crash beside a proven culprit is explained by it. Culprits are therefore found in the order of their
   * proofs, each without the crashes that the earlier ones explain.
   */
  private _updateSuspects (): void {
    const nowMs = Date.now()
    for (const [key, event] of this._crashes) {
      if (nowMs - event.atMs >= CRASH_RETENTION_MS) this._crashes.delete(key)
    }
    evictBefore(this._completedAtMs, nowMs - CRASH_RETENTION_MS)
    const culprits = new Set<string>()
    for (;;) {
      this._suspects = this._countCrashes(culprits)
      const proven = [...this._suspects].filter(([item, { confirmedAtMs: provenAtMs }]) => provenAtMs !== undefined && !culprits.has(item))
      const [first] = proven.sort(([, left], [, right]) => (left.confirmedAtMs ?? 0) - (right.confirmedAtMs ?? 0))
      if (first === undefined) return
      culprits.add(first[0])
    }
  }

  /** Counts the crashes of each request, of those beside a culprit only the culprit's. */
  private _countCrashes (culprits: ReadonlySet<string>): Map<string, Suspect> {
    const verdicts = new Map<string, Suspect>()
    for (const event of [...this._crashes.values()].sort((left, right) => left.atMs - right.atMs)) {
      const isExplained = [...event.fingerprints].some((item) => culprits.has(item))
      const blamed = [...event.fingerprints].filter((item) =>
        event.atMs > (this._completedAtMs.get(item) ?? -Infinity) && (!isExplained || culprits.has(item)))
      const suspects = [...event.fingerprints].filter((item) => verdicts.has(item))
      for (const fingerprint of blamed) {
        const before = verdicts.get(fingerprint)
        const isSole = suspects.length === 1 && suspects[0] === fingerprint
        verdicts.set(fingerprint, {
          crashCount: (before?.crashCount ?? 0) + 1,
          isSoleSuspect: isSole || before?.isSoleSuspect === true,
          confirmedAtMs: before?.confirmedAtMs ?? (isSole ? event.atMs : undefined),
          lastCrashAtMs: event.atMs
        })
      }
    }
    return verdicts
  }
}

function evictBefore (times: Map<string, number>, beforeMs: number): void {
  for (const [key, atMs] of times) {
    if (atMs < beforeMs) times.delete(key)
  }
}
