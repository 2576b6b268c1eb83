import type { LogRecord } from './LogRecord.js'

// Trimmed records are removed from the array in blocks, because each removal at the front takes linear time.
const COMPACT_AFTER_RECORDS = 1024

/** A stream of records with offsets from 0. Records older than the retention are trimmed. */
export class LogStream {
  private _records: LogRecord[] = []
  private _trimmedCount = 0
  nextOffset = 0

  constructor (private readonly _retentionMs: number) {}

  append (values: unknown[], nowMs: number): number {
    const firstOffset = this.nextOffset
    for (const value of values) {
      this._records.push({ offset: this.nextOffset, time_ms: nowMs, value })
      this.nextOffset++
    }
    return firstOffset
  }

  /** Offset of the oldest record within the retention; the next offset if there is none. */
  earliestOffset (nowMs: number): number {
    const cutoffMs = nowMs - this._retentionMs
    while (this._trimmedCount < this._records.length && this._records[this._trimmedCount]!.time_ms < cutoffMs) this._trimmedCount++
    if (this._trimmedCount >= COMPACT_AFTER_RECORDS) {
      this._records = this._records.slice(this._trimmedCount)
      this._trimmedCount = 0
    }
    return this._records[this._trimmedCount]?.offset ?? this.nextOffset
  }

  /** Returns up to `limit` records from an offset, which must be within the retention. */
  read (from: number, limit: number): LogRecord[] {
    const baseOffset = this._records[0]?.offset ?? this.nextOffset
    return this._records.slice(from - baseOffset, from - baseOffset + limit)
  }
}
