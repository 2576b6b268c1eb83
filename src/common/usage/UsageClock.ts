import { ClockJumpDetector } from '../kernel/ClockJumpDetector.js'
import type { UsageSchedule } from './UsageSchedule.js'

/** With fewer clocks, nobody can tell which one is wrong. */
const MIN_CLOCKS = 3
const MAX_CLOCKS = 1000
/** The readings of entries that have been silent for this long are discarded. */
const MAX_READING_AGE_MS = 60_000

/** A difference that delays of messages may explain; the holder's own clock counts then. */
const TOLERANCE_MS = 1000
/** After a suspension, messages that arrived meanwhile are read within this time; they are discarded. */
const STALE_MESSAGES_MS = 250

/** Estimates true time at the holder as the median of the clocks of the entries, so that a single wrong one has no effect. */
export class UsageClock {
  /** Differences between the wall clocks of other entries and this process's monotonic clock. */
  private readonly _readings = new Map<string, { offsetMs: number, atMs: number }>()
  private _ownOffsetMs = ownOffsetMs()
  private _clockJumps = new ClockJumpDetector()
  /** When the readings were discarded. */
  private _clearedAtMs = performance.now()
  private _ignoresUntilMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _schedule: UsageSchedule) {}

  /** Records the wall clock of another entry. */
  observe (entry: string, unixMs: number): void {
    this._checkJump()
    const atMs = performance.now()
    if (atMs < this._ignoresUntilMs) return
    const offsetMs = unixMs - atMs
    const earlier = this._readings.get(entry)
    // The delay of a message makes a clock appear behind, so the reading with the smallest delay counts.
    if (earlier !== undefined && earlier.offsetMs > offsetMs && atMs - earlier.atMs <= MAX_READING_AGE_MS) return
    this._readings.delete(entry)
    const [oldest] = this._readings.keys()
    if (this._readings.size >= MAX_CLOCKS && oldest !== undefined) this._readings.delete(oldest)
    this._readings.set(entry, { offsetMs, atMs })
  }

  nowUnixMs (): number {
    this._checkJump()
    const nowMs = performance.now()
    for (const [entry, { atMs }] of this._readings) if (nowMs - atMs > MAX_READING_AGE_MS) this._readings.delete(entry)
    const offsets = [this._ownOffsetMs, ...[...this._readings.values()].map(({ offsetMs }) => offsetMs)].sort((a, b) => a - b)
    const median = offsets[Math.floor(offsets.length / 2)] ?? this._ownOffsetMs
    const isOwnRight = offsets.length < MIN_CLOCKS || Math.abs(median - this._ownOffsetMs) <= TOLERANCE_MS
    return nowMs + (isOwnRight ? this._ownOffsetMs : median)
  }

  /** Discards what earlier contributions said, at the start of a term. */
  restart (): void {
    this._readings.clear()
    this._clearedAtMs = performance.now()
    this._ownOffsetMs = ownOffsetMs()
    // Earlier jumps do not affect later readings.
    this._clockJumps = new ClockJumpDetector()
  }

  /** Whether enough entries have reported their clocks, or had the time to, since the readings were discarded. */
  isSettled (): boolean {
    this._checkJump()
    return this._readings.size + 1 >= MIN_CLOCKS || performance.now() - this._clearedAtMs >= this._schedule.settleMs
  }

  /** After a jump, the readings refer to a monotonic clock that may have stopped for a time. */
  private _checkJump (): void {
    if (this._clockJumps.check() === undefined) {
      this._ownOffsetMs = ownOffsetMs()
      return
    }
    this.restart()
    this._ignoresUntilMs = performance.now() + STALE_MESSAGES_MS
  }
}

function ownOffsetMs (): number {
  return Date.now() - performance.now()
}
