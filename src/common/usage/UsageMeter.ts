import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IUsageMeter } from './IUsageMeter.js'
import type { MeteredWindow } from './MeteredWindow.js'
import type { UsageSchedule } from './UsageSchedule.js'

/** Somewhat more than the windows that may still be reported; a clock that jumps makes no more of them. */
const MAX_WINDOWS = 80
/** Differences to the holder's time below this are noise of the network. Above it, counts fall into a wrong window. */
const MIN_CORRECTION_MS = 300

/** Requests that began to run at this entry, by window, until a report that contains them is durable. */
export class UsageMeter implements IUsageMeter {
  private readonly _windows = new Map<number, MeteredWindow>()
  private readonly _stopping = new Emitter<void>()
  readonly onStopping = this._stopping.event
  private _correctionMs = 0

  constructor (private readonly _schedule: UsageSchedule, private readonly _logger: ILogger) {}

  /** True time, as far as this entry knows it. */
  nowUnixMs (): number {
    return Date.now() + this._correctionMs
  }

  recordStart (organisation: string, atUnixMs: number): void {
    const number = this._schedule.windowAt(atUnixMs + this._correctionMs)
    const window = this._windows.get(number) ?? this._open(number)
    window.counts.set(organisation, (window.counts.get(organisation) ?? 0) + 1)
    window.revision += 1
  }

  /** Counts the attempts that are pending, before the last counts are sent. */
  settlePending (): void {
    this._stopping.fire()
  }

  /** Windows in ascending order. */
  windows (): MeteredWindow[] {
    return [...this._windows.values()].sort((a, b) => a.window - b.window)
  }

  find (window: number): MeteredWindow | undefined {
    return this._windows.get(window)
  }

  recordTaken (window: number, revision: number): void {
    const metered = this._windows.get(window)
    if (metered !== undefined) metered.takenRevision = revision
  }

  remove (window: number): void {
    this._windows.delete(window)
  }

  /** Drops the windows that are too old to be reported. */
  dropExpired (): void {
    const oldest = this._schedule.oldestAt(this.nowUnixMs())
    for (const window of this._windows.keys()) if (window < oldest) this._drop(window, 'too old')
  }

  /** Adopts the holder's time if this entry's clock differs from it. */
  adoptTime (holderUnixMs: number): void {
    const correctionMs = holderUnixMs - Date.now()
    const adoptedMs = Math.abs(correctionMs) < MIN_CORRECTION_MS ? 0 : correctionMs
    if (Math.abs(adoptedMs - this._correctionMs) < MIN_CORRECTION_MS) return
    this._logger.warn({ correction_ms: Math.round(adoptedMs), before_ms: Math.round(this._correctionMs) }, 'usage_clock_corrected')
    this._correctionMs = adoptedMs
  }

  private _open (window: number): MeteredWindow {
    const oldest = this._windows.keys().next()
    if (this._windows.size >= MAX_WINDOWS && oldest.done !== true) this._drop(oldest.value, 'too many windows')
    const opened: MeteredWindow = { window, counts: new Map(), revision: 0, takenRevision: 0 }
    this._windows.set(window, opened)
    return opened
  }

  private _drop (window: number, reason: string): void {
    const { revision = 0, takenRevision = 0 } = this._windows.get(window) ?? {}
    this._windows.delete(window)
    // An entry without further requests does not learn that counts which the holder took were committed.
    const requests = revision - takenRevision
    if (requests > 0) this._logger.warn({ window, requests, reason }, 'usage_counts_dropped')
  }
}
