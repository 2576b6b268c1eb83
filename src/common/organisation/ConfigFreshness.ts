import { ClockJumpDetector } from '../kernel/ClockJumpDetector.js'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'

/** The smallest jump that `ClockJumpDetector` detects is 400 ms; clocks of different rates add some milliseconds in 5 s. */
const MARGIN_MS = 500
/** Changes of the state are logged within this time also when there are no requests. */
const CHECK_INTERVAL_MS = 100

/**
 * Tells whether the configuration in force is proved to have been the newest one recently enough. After a suspension or
 * a step of the wall clock, only reads that were sent afterwards count, because ages across it are unknown.
 */
export class ConfigFreshness extends Disposable {
  private readonly _clockJumps = new ClockJumpDetector()
  private _jumpedAtMs = Number.NEGATIVE_INFINITY
  private _isProved = false
  /** `performance.now()` since which the configuration is not proved; undefined before it was so for the first time. */
  private _unprovedSinceMs?: number

  /** With an undefined `maxAgeMs`, the configuration is always proved. `provedAtMs` is in terms of `performance.now()`. */
  constructor (
    private readonly _maxAgeMs: number | undefined,
    private readonly _proof: { readonly provedAtMs: number },
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    if (_maxAgeMs === undefined) return
    const timer = setInterval(() => this._check(_maxAgeMs), CHECK_INTERVAL_MS)
    this._register(toDisposable(() => clearInterval(timer)))
  }

  /** Checks the clocks and the proof; to be called for each request, since timers fire late after a freeze. */
  isProved (): boolean {
    return this._maxAgeMs === undefined || this._check(this._maxAgeMs)
  }

  private _check (maxAgeMs: number): boolean {
    this._checkClocks()
    const { provedAtMs } = this._proof
    const ageMs = performance.now() - provedAtMs
    const isCurrent = provedAtMs > this._jumpedAtMs
    if (Number.isFinite(ageMs)) this._metrics.gauge('config_proof_age_ms', Math.round(ageMs))
    this._setProved(isCurrent && ageMs <= maxAgeMs - MARGIN_MS, { age_ms: Math.round(ageMs), max_age_ms: maxAgeMs, reason: isCurrent ? 'age' : 'clock_jump' })
    return this._isProved
  }

  private _checkClocks (): void {
    const jumpMs = this._clockJumps.check()
    if (jumpMs === undefined) return
    this._jumpedAtMs = performance.now()
    this._metrics.count('config_clock_jumps')
    this._logger.warn({ jump_ms: Math.round(jumpMs) }, 'config_clock_jumped')
  }

  private _setProved (isProved: boolean, fields: { age_ms: number, max_age_ms: number, reason: string }): void {
    if (isProved === this._isProved) return
    this._isProved = isProved
    if (isProved) {
      const unprovedForMs = this._unprovedSinceMs === undefined ? undefined : Math.round(performance.now() - this._unprovedSinceMs)
      this._logger.info({ age_ms: fields.age_ms, unproved_for_ms: unprovedForMs }, 'config_proved')
      return
    }
    this._unprovedSinceMs = performance.now()
    this._metrics.count('config_unproved', { reason: fields.reason })
    this._logger.warn(fields, 'config_unproved')
  }
}
