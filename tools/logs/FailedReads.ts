import { formatFields } from './formatFields.js'
import type { LogEvent } from './LogEvent.js'

/** Counts failed reads by entry, event and reason. */
export class FailedReads {
  private readonly _counts = new Map<string, number>()
  private _total = 0

  get total (): number { return this._total }

  /** Counts a read that failed. */
  add ({ name, entry, fields }: LogEvent): void {
    // An entry that reaches no leader logs which one it tried, and no reason.
    const reason = fields.get('reason') ?? `leader ${fields.get('leader') ?? 'unknown'}`
    const key = formatFields([['entry', entry], ['event', name], ['reason', reason]])
    this._counts.set(key, (this._counts.get(key) ?? 0) + 1)
    this._total++
  }

  /** One line for each entry, event and reason, the most frequent first. */
  format (): string[] {
    return [...this._counts].sort((a, b) => b[1] - a[1]).map(([key, count]) => `failed_reads count=${count} ${key}`)
  }
}
