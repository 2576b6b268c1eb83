import type { UsageContribution } from './UsageContribution.js'
import type { UsageSchedule } from './UsageSchedule.js'
import type { UsageWindow } from './UsageWindow.js'

/** 14 MB of heap at this bound, with the organisations in random order. 370 entries with 83 organisations fill about half of it in the two windows that are open. */
const MAX_COUNTS = 120_000
const COUNTS_OF_EMPTY = 4

type WindowOutcome = 'taken' | 'refused' | 'retry'

/** Contributions that the holder of the usage reports has received, for the windows that are not closed yet. */
export class UsageCollector {
  /** By window, then by entry and process. */
  private readonly _open = new Map<number, Map<string, Record<string, number>>>()
  /** Windows whose counts no longer change. */
  private readonly _closed = new Set<number>()
  private _size = 0

  constructor (private readonly _schedule: UsageSchedule) {}

  /** The oldest window that has contributions. */
  get oldestWindow (): number | undefined {
    return this._open.size === 0 ? undefined : Math.min(...this._open.keys())
  }

  /** Adds the counts of one window; a repetition, also one with more requests, replaces the earlier ones. */
  add ({ entry, process }: Pick<UsageContribution, 'entry' | 'process'>, { window, counts }: UsageWindow, nowUnixMs: number): WindowOutcome {
    if (this._closed.has(window) || !this._isNear(window, nowUnixMs)) return 'refused'
    const contributor = `${entry} ${process}`
    const contributions = this._open.get(window) ?? new Map<string, Record<string, number>>()
    const earlier = contributions.get(contributor)
    // The counts of a process only grow, so a repetition that arrives late has no effect.
    const merged = earlier === undefined ? counts : mergeHighest(earlier, counts)
    const growth = sizeOf(merged) - (earlier === undefined ? 0 : sizeOf(earlier))
    if (this._size + growth > MAX_COUNTS) return 'retry'
    this._size += growth
    contributions.set(contributor, merged)
    this._open.set(window, contributions)
    return 'taken'
  }

  /** Ends the collection for a window and returns its sums. */
  close (window: number): { counts: Record<string, number>, contributors: number } {
    const contributions = this._open.get(window) ?? new Map<string, Record<string, number>>()
    const sums = new Map<string, number>()
    for (const counts of contributions.values()) {
      for (const [organisation, count] of Object.entries(counts)) sums.set(organisation, (sums.get(organisation) ?? 0) + count)
    }
    this.discard(window)
    return { counts: Object.fromEntries([...sums].sort(([a], [b]) => a < b ? -1 : 1)), contributors: contributions.size }
  }

  /** Ends the collection for a window that is already committed. */
  discard (window: number): void {
    for (const counts of this._open.get(window)?.values() ?? []) this._size -= sizeOf(counts)
    this._open.delete(window)
    this._closed.add(window)
  }

  /** Removes the windows that are too far from the present to be added to. */
  removeExpired (nowUnixMs: number): void {
    for (const window of [...this._open.keys()]) if (!this._isNear(window, nowUnixMs)) this.discard(window)
    for (const window of this._closed) if (!this._isNear(window, nowUnixMs)) this._closed.delete(window)
  }

  /** Whether a window is not too old to be reported and, but for a small difference of clocks, has begun. */
  private _isNear (window: number, nowUnixMs: number): boolean {
    return window >= this._schedule.oldestAt(nowUnixMs) && window <= this._schedule.windowAt(nowUnixMs) + 1
  }
}

function mergeHighest (earlier: Record<string, number>, later: Record<string, number>): Record<string, number> {
  const merged = new Map(Object.entries(earlier))
  for (const [organisation, count] of Object.entries(later)) merged.set(organisation, Math.max(count, merged.get(organisation) ?? 0))
  return Object.fromEntries(merged)
}

function sizeOf (counts: Record<string, number>): number {
  return COUNTS_OF_EMPTY + Object.keys(counts).length
}
