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
import { SuspectRuns } from './SuspectRuns.js'

/** How long crashes are kept. */
const CRASH_RETENTION_MS = 600_000
/** Number of crashes that block a request, regardless of the other requests in flight. */
const MAX_CRASHES = 3
/**
 * Time after which a request blocked by exactly `MAX_CRASHES` may run once more. Requests that run beside one
 * which crashes three engines in a row share its crashes; with 12 entries and 3 engines, samples stayed
 * blocked for ten minutes that way.
 */
const TRIAL_RUN_DELAY_MS = 10_000
/** Number of crashes that block a request if it was the only suspect in flight at one of them. */
const MAX_CRASHES_AS_SOLE_SUSPECT = 2
/** Time for the crash records of other entries to arrive before a request is blocked; appends are 50 ms apart and reads follow at once. */
const BLOCK_DELAY_MS = 1_000
/** The same before a request that is not blocked runs again: one append and one read, with a margin for a busy host. */
const RERUN_DELAY_MS = 200
/** How long a request named by a peer counts as a suspect. */
const PEER_SUSPECT_RETENTION_MS = 10_000

/** A request with crashes since its last completion. */
interface Suspect {
  crashCount: number
  wasSoleSuspect: boolean
  /** Time of the first crash with this as the only suspect in flight, which confirms it as a poison request. */
  confirmedAtMs?: number
  lastCrashAtMs: number
}

/** ISuspectTable on the `crash` records of the `claims` stream; add it to the log hub as a fold of that stream. */
export class SuspectTable extends Disposable implements ISuspectTable, ISuspectGossip, ILogFold {
  /** Crashes by upstream and boot id, in order of arrival. */
  private readonly _crashes = new Map<string, CrashEvent>()
  /** `Date.now()` of the last completion of each request that was a suspect. */
  private readonly _completedAtMs = new Map<string, number>()
  /** `Date.now()` at which a peer last named each request as a suspect. */
  private readonly _peerSuspectsAtMs = new Map<string, number>()
  private _suspects = new Map<string, Suspect>()
  private readonly _runs = new SuspectRuns()
  readonly onRunsChanged = this._runs.onChanged

  constructor (
    @logHubId private readonly _hub: ILogHub,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
  }

  isBlocked (fingerprint: string): boolean {
    return this._reachedCrashLimit(fingerprint) && !this.isAwaitingCrashRecords(fingerprint)
  }

  isAwaitingCrashRecords (fingerprint: string): boolean {
    const suspect = this._findSuspect(fingerprint)
    const delayMs = this._reachedCrashLimit(fingerprint) ? BLOCK_DELAY_MS : RERUN_DELAY_MS
    return suspect !== undefined && Date.now() - suspect.lastCrashAtMs < delayMs
  }

  isSuspect (fingerprint: string): boolean {
    const namedAtMs = this._peerSuspectsAtMs.get(fingerprint) ?? -Infinity
    return this._findSuspect(fingerprint) !== undefined || Date.now() - namedAtMs < PEER_SUSPECT_RETENTION_MS
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
    this._hub.appendEventually('claims', {
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

  /** Nothing to do: records that the log no longer retains are older than `CRASH_RETENTION_MS`. */
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
      // A peer may still name a request for a while after it completed on this entry.
      if (nowMs - completedAtMs > CRASH_RETENTION_MS) {
        this._peerSuspectsAtMs.set(fingerprint, nowMs)
      }
    }
    evictBefore(this._peerSuspectsAtMs, nowMs - PEER_SUSPECT_RETENTION_MS)
  }

  isRunningAtPeer (fingerprint: string): boolean {
    return this._runs.isRunningAtPeer(fingerprint)
  }

  startRun (fingerprint: string): (isResolved: boolean) => void {
    return this._runs.start(fingerprint)
  }

  runningSuspects (): string[] {
    return this._runs.running()
  }

  setPeerRuns (peer: string, keys: readonly string[]): void {
    this._runs.setPeerRuns(peer, keys)
  }

  private _findSuspect (fingerprint: string): Suspect | undefined {
    const suspect = this._suspects.get(fingerprint)
    return suspect !== undefined && Date.now() - suspect.lastCrashAtMs < CRASH_RETENTION_MS ? suspect : undefined
  }

  private _reachedCrashLimit (fingerprint: string): boolean {
    const suspect = this._findSuspect(fingerprint)
    if (suspect === undefined) {
      return false
    }
    if (suspect.crashCount > MAX_CRASHES || (suspect.crashCount >= MAX_CRASHES_AS_SOLE_SUSPECT && suspect.wasSoleSuspect)) {
      return true
    }
    return suspect.crashCount === MAX_CRASHES && Date.now() - suspect.lastCrashAtMs < TRIAL_RUN_DELAY_MS
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
   * Recomputes all suspects from the crashes, because a late record may add requests to a crash that is known
   * already. A crash with a confirmed poison request in flight is attributed to that request alone. Poison requests
   * are therefore confirmed one by one, earliest first, each without the crashes attributed to the previous ones.
   */
  private _updateSuspects (): void {
    const nowMs = Date.now()
    for (const [key, event] of this._crashes) {
      if (nowMs - event.atMs >= CRASH_RETENTION_MS) this._crashes.delete(key)
    }
    evictBefore(this._completedAtMs, nowMs - CRASH_RETENTION_MS)
    const poisonRequests = new Set<string>()
    for (;;) {
      this._suspects = this._countCrashes(poisonRequests)
      const newlyConfirmed = [...this._suspects].filter(([fingerprint, { confirmedAtMs }]) => confirmedAtMs !== undefined && !poisonRequests.has(fingerprint))
      const [first] = newlyConfirmed.sort(([, left], [, right]) => (left.confirmedAtMs ?? 0) - (right.confirmedAtMs ?? 0))
      if (first === undefined) return
      poisonRequests.add(first[0])
    }
  }

  /** Counts the crashes of each request; crashes with a confirmed poison request in flight count only for the latter. */
  private _countCrashes (poisonRequests: ReadonlySet<string>): Map<string, Suspect> {
    const suspects = new Map<string, Suspect>()
    for (const event of [...this._crashes.values()].sort((left, right) => left.atMs - right.atMs)) {
      const isCausedByPoison = [...event.fingerprints].some((item) => poisonRequests.has(item))
      const attributed = [...event.fingerprints].filter((item) =>
        event.atMs > (this._completedAtMs.get(item) ?? -Infinity) && (!isCausedByPoison || poisonRequests.has(item)))
      const suspectsInFlight = [...event.fingerprints].filter((item) => suspects.has(item))
      for (const fingerprint of attributed) {
        const before = suspects.get(fingerprint)
        const wasSole = suspectsInFlight.length === 1 && suspectsInFlight[0] === fingerprint
        suspects.set(fingerprint, {
          crashCount: (before?.crashCount ?? 0) + 1,
          wasSoleSuspect: wasSole || before?.wasSoleSuspect === true,
          confirmedAtMs: before?.confirmedAtMs ?? (wasSole ? event.atMs : undefined),
          lastCrashAtMs: event.atMs
        })
      }
    }
    return suspects
  }
}

function evictBefore (times: Map<string, number>, beforeMs: number): void {
  for (const [key, atMs] of times) {
    if (atMs < beforeMs) times.delete(key)
  }
}
