import type { LogRecord } from './LogRecord.js'

// Trimmed records are removed from the array in blocks, because removal at the front is linear.
const COMPACT_AFTER_RECORDS = 1024

/** One stream: records by offset from 0, dropped when they are older than the retention. */
export class LogStream {
  private _records: LogRecord[] = []
  private _trimmed = 0
  nextOffset = 0

  constructor (private readonly _retentionMs: number) {}

  append (values: unknown[], nowMs: number): number {
    const first = this.nextOffset
    for (const value of values) {
      this._records.push({ offset: this.nextOffset, time_ms: nowMs, value })
      this.nextOffset++
    }
    return first
  }

  /** Offset of the oldest record within retention; the next offset when there is none. */
  earliestOffset (nowMs: number): number {
    const limitMs = nowMs - this._retentionMs
    while (this._trimmed < this._records.length && this._records[this._trimmed]!.time_ms < limitMs) this._trimmed++
    if (this._trimmed >= COMPACT_AFTER_RECORDS) {
      this._records = this._records.slice(this._trimmed)
      this._trimmed = 0
    }
    return this._records[this._trimmed]?.offset ?? this.nextOffset
  }

  /** Records from an offset that is within retention. */
  read (from: number, limit: number): LogRecord[] {
    const base = this._records[0]?.offset ?? this.nextOffset
    return this._records.slice(from - base, from - base + limit)
  }
}
