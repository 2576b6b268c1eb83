import { okAsync, errAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'
import { Emitter } from '../../kernel/Emitter.js'
import type { ILogFold } from '../../log/ILogFold.js'
import type { ILogHub } from '../../log/ILogHub.js'
import type { LogEntry } from '../../log/LogEntry.js'
import type { LogError } from '../../log/LogError.js'
import type { StreamName } from '../../log/StreamName.js'
import type { StreamStatus } from '../../log/StreamStatus.js'

/** In-memory log with one stream, which several hubs of a test share. */
export class MemoryLog {
  readonly entries: LogEntry[] = []
  readonly hubs: MemoryHub[] = []

  hub (): MemoryHub {
    const hub = new MemoryHub(this)
    this.hubs.push(hub)
    return hub
  }

  push (value: unknown): LogEntry {
    const entry = { offset: this.entries.length + 1, timeMs: Date.now(), value: structuredClone(value) }
    this.entries.push(entry)
    for (const hub of this.hubs) {
      if (hub.isFollowing) hub.follow()
    }
    return entry
  }
}

class MemoryHub implements ILogHub {
  readonly caughtUp = new Emitter<StreamName>()
  readonly onCaughtUp = this.caughtUp.event
  readonly pending: { id: string }[] = []
  /** Whether new records are applied at once; otherwise only when `follow` is called. */
  isFollowing = true
  /** Whether the log is unavailable to this hub; its appends are then held back until `recover` is called. */
  isDown = false
  isCaughtUp = true
  private readonly _folds: ILogFold[] = []
  private _readCount = 0

  constructor (private readonly _log: MemoryLog) {}

  addFold (_stream: StreamName, fold: ILogFold): void {
    this._folds.push(fold)
  }

  start (): void {}

  /** Reads and applies up to `limit` further records. */
  follow (limit = Infinity): void {
    for (const entry of this._log.entries.slice(this._readCount, this._readCount + limit)) {
      this._readCount++
      this._folds.forEach((fold) => fold.apply(entry))
    }
  }

  /** Skips every record before the offset, as for an entry that stopped reading until retention removed them. */
  gap (earliestOffset: number): void {
    this._readCount = earliestOffset - 1
    this._folds.forEach((fold) => fold.onGap(earliestOffset))
  }

  append (_stream: StreamName, record: { id: string }, _timeoutMs: number): ResultAsync<LogEntry, LogError> {
    if (this.isDown) {
      // The record may still be added after the append was reported as unavailable.
      this.pending.push(record)
      return errAsync({ kind: 'log_unavailable', message: 'down', mayTakeEffect: true })
    }
    const entry = this._log.push(record)
    this.follow()
    return okAsync(entry)
  }

  appendEventually (_stream: StreamName, record: { id: string }): void {
    if (this.isDown) this.pending.push(record)
    else this._log.push(record)
  }

  recover (): void {
    this.isDown = false
    this.pending.splice(0).forEach((record) => this._log.push(record))
  }

  status (): StreamStatus {
    const isAtEnd = this._readCount === this._log.entries.length
    // 1 ms ahead, so that the end counts as reached after the start of the request that is being checked.
    return { nextOffset: this._readCount + 1, isCaughtUp: this.isCaughtUp, endReachedAtMs: isAtEnd ? performance.now() + 1 : 0, isFailing: this.isDown }
  }

  async flush (): Promise<void> {}
  dispose (): void {}
}
