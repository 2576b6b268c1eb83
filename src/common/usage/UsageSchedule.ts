import type { UsageOptions } from './UsageOptions.js'

/** Reports of older windows are given up. */
const MAX_AGE_MS = 300_000
/** Shares of the time until a report is due. An attempt is decided after 2 s, the first share of 10 s. */
const PUSH_SHARE = 0.22
/** Spreads the contributions of many entries. */
const PUSH_JITTER_SHARE = 0.08
/**
 * A window is committed halfway between its end and the time at which its report is due: late enough for entries to
 * repeat a contribution that was lost, and early enough for a new holder, whose first call has to wait for the lease
 * time, to send the report in time.
 */
const COMMIT_SHARE = 0.5
/** Time in which entries learn of a new holder and send it what they have kept. */
const GATHER_SHARE = 0.25
/** Time in which entries report their clocks to a holder, by contributions that are spread over the jitter. */
const SETTLE_SHARE = 0.12

/**
 * Longest pause before an entry sends its counts again. 370 entries then make about 100 attempts per second while no
 * entry leads, which the smallest host serves.
 */
const MAX_RETRY_MS = 5000

/** Schedule of a window: when it ends, its counts are sent to the holder, its report is committed and is due. */
export class UsageSchedule {
  readonly maxAgeMs = MAX_AGE_MS
  readonly maxRetryMs = MAX_RETRY_MS
  readonly windowMs: number
  readonly lateMs: number
  readonly pushDelayMs: number
  readonly maxPushJitterMs: number
  readonly commitDelayMs: number
  readonly gatherMs: number
  readonly settleMs: number

  constructor ({ windowMs, lateMs }: UsageOptions) {
    this.windowMs = windowMs
    this.lateMs = lateMs
    this.pushDelayMs = PUSH_SHARE * lateMs
    this.maxPushJitterMs = PUSH_JITTER_SHARE * lateMs
    this.commitDelayMs = COMMIT_SHARE * lateMs
    this.gatherMs = GATHER_SHARE * lateMs
    this.settleMs = SETTLE_SHARE * lateMs
  }

  /** Time that entries need to send what they have kept, after the holder could not be reached for `outageMs`. */
  gatherMsAfter (outageMs: number): number {
    // The pause before the next attempt is at most as long as all attempts before.
    return Math.max(this.gatherMs, Math.min(outageMs, this.maxRetryMs) + this.settleMs)
  }

  windowAt (unixMs: number): number {
    return Math.floor(unixMs / this.windowMs)
  }

  endOf (window: number): number {
    return (window + 1) * this.windowMs
  }

  /** The oldest window that may still be reported. */
  oldestAt (unixMs: number): number {
    return this.windowAt(unixMs - this.maxAgeMs)
  }

  /** The oldest window whose report is not due yet. */
  oldestInTimeAt (unixMs: number): number {
    return this.windowAt(unixMs - this.lateMs)
  }
}
