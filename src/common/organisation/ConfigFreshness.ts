import { ClockJumpDetector } from '../kernel/ClockJumpDetector.js'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IConfigSource } from '../routing/IConfigSource.js'

/** The smallest jump that `ClockJumpDetector` detects is 400 ms; clocks of different rates add some milliseconds in 5 s. */
const MARGIN_MS = 500
/** Changes of the state are logged within this time also when there are no requests. */
const CHECK_INTERVAL_MS = 100

/**
 * Tells whether the configuration in force is known to have been the newest one recently enough. After a suspension or
 * a step of the wall clock, only reads that were sent afterwards count, because ages across it are unknown.
 */
export class ConfigFreshness extends Disposable {
  private readonly _clockJumps = new ClockJumpDetector()
  private _jumpedAtMs = Number.NEGATIVE_INFINITY
  private _isFresh = false
  /** `performance.now()` since which the configuration is stale; undefined before it was so for the first time. */
  private _staleSinceMs?: number

  /** With an undefined `maxAgeMs`, the configuration is always fresh. */
  constructor (
    private readonly _maxAgeMs: number | undefined,
    private readonly _source: IConfigSource,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    if (_maxAgeMs === undefined) return
    this._register(startInterval(() => this._check(_maxAgeMs), CHECK_INTERVAL_MS))
  }

  /** Checks the clocks and the age; to be called for each request, since timers fire late after a freeze. */
  isFresh (): boolean {
    return this._maxAgeMs === undefined || this._check(this._maxAgeMs)
  }

  private _check (maxAgeMs: number): boolean {
    this._checkClocks()
    const { upToDateAtMs } = this._source
    const ageMs = performance.now() - upToDateAtMs
    const isCurrent = upToDateAtMs > this._jumpedAtMs
    if (Number.isFinite(ageMs)) this._metrics.gauge('config_age_ms', Math.round(ageMs))
    this._setFresh(isCurrent && ageMs <= maxAgeMs - MARGIN_MS, { age_ms: Math.round(ageMs), max_age_ms: maxAgeMs, reason: isCurrent ? 'age' : 'clock_jump' })
    return this._isFresh
  }

  private _checkClocks (): void {
    const jumpMs = this._clockJumps.check()
    if (jumpMs === undefined) return
    this._jumpedAtMs = performance.now()
    this._metrics.count('config_clock_jumps')
    this._logger.warn({ jump_ms: Math.round(jumpMs) }, 'config_clock_jumped')
  }

  private _setFresh (isFresh: boolean, fields: { age_ms: number, max_age_ms: number, reason: string }): void {
    if (isFresh === this._isFresh) return
    this._isFresh = isFresh
    if (isFresh) {
      const staleForMs = this._staleSinceMs === undefined ? undefined : Math.round(performance.now() - this._staleSinceMs)
      this._logger.info({ age_ms: fields.age_ms, stale_for_ms: staleForMs }, 'config_fresh')
      return
    }
    this._staleSinceMs = performance.now()
    this._metrics.count('config_stale', { reason: fields.reason })
    this._logger.warn(fields, 'config_stale')
  }
}
