import type { FleetMember } from './FleetMember.js'

/** The store may execute a write this late. Older records that arrive after this time without a newer one are not late. */
const MAX_WRITE_DELAY_MS = 10_000
/** Upstreams whose newest record is remembered, also after its removal. */
const MAX_REMEMBERED = 4096

interface NewestRecord { startedAtMs: number, sequence: number | undefined, receivedAtMs: number }

/** Tells the records that an upstream wrote before its newest known one, and that the store executed late. */
export class RecordOrder {
  /** Newest record of each upstream by its id, the latest received last. */
  private readonly _newest = new Map<string, NewestRecord>()

  /** Returns whether a record is as new as the newest one so far, which it then replaces. */
  accept ({ id, startedAtMs, sequence }: FleetMember): boolean {
    const nowMs = performance.now()
    const newest = this._newest.get(id)
    const isRecent = newest !== undefined && nowMs - newest.receivedAtMs < MAX_WRITE_DELAY_MS
    if (isRecent && isOlder({ startedAtMs, sequence }, newest)) return false
    this._newest.delete(id)
    this._newest.set(id, { startedAtMs, sequence, receivedAtMs: nowMs })
    this._evict()
    return true
  }

  private _evict (): void {
    const oldest = this._newest.keys().next().value
    if (this._newest.size > MAX_REMEMBERED && oldest !== undefined) this._newest.delete(oldest)
  }
}

/** Sequence numbers are comparable only within one incarnation, so not if its start is unknown. */
function isOlder (record: Pick<NewestRecord, 'startedAtMs' | 'sequence'>, newest: NewestRecord): boolean {
  if (record.startedAtMs !== newest.startedAtMs) return record.startedAtMs < newest.startedAtMs
  return record.startedAtMs > 0 && (record.sequence ?? 0) < (newest.sequence ?? 0)
}
