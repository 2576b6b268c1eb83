import { Disposable } from '../kernel/Disposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { ILeadership } from '../store/ILeadership.js'

/** Decides when the leader may perform one duty. */
export class DutyHolder extends Disposable {
  private _gained?: { epoch: number, atMs: number }
  private _fencedEpoch?: number
  /** The token that was last reported in the log. */
  private _loggedToken?: number

  constructor (
    private readonly _duty: string,
    private readonly _leadership: ILeadership,
    /** No holder acts within this time after it gained the leadership, so that holders do not act in the order A, B, A within it. */
    private readonly _leaseMs: number,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(_leadership.onGained(epoch => this._onGained(epoch)))
    this._register(_leadership.onLost(() => this._onLost()))
    const epoch = _leadership.validEpoch()
    if (epoch !== undefined) this._onGained(epoch)
  }

  /** Fencing token of this entry if it may act now. Has to be read immediately before each call. */
  token (): number | undefined {
    const token = this._token()
    this._logChange(token)
    return token
  }

  /** Ends the duty for the rest of the term, because the platform has seen a higher fencing token. */
  stopTerm (token: number): void {
    this._fencedEpoch = token
    this._logChange(this._token(), 'fenced')
  }

  private _token (): number | undefined {
    const epoch = this._leadership.validEpoch()
    if (epoch === undefined || epoch !== this._gained?.epoch || epoch === this._fencedEpoch) return undefined
    return performance.now() - this._gained.atMs >= this._leaseMs ? epoch : undefined
  }

  private _onGained (epoch: number): void {
    this._gained = { epoch, atMs: performance.now() }
  }

  private _onLost (): void {
    this._gained = undefined
    this._logChange(undefined, 'leadership lost')
  }

  private _logChange (token: number | undefined, reason = 'lease expired'): void {
    if (token === this._loggedToken) return
    if (this._loggedToken !== undefined) this._logger.warn({ duty: this._duty, token: this._loggedToken, reason }, 'duty_lost')
    if (token !== undefined) this._logger.info({ duty: this._duty, token }, 'duty_acquired')
    this._loggedToken = token
    this._metrics.gauge('duty_held', token === undefined ? 0 : 1, { duty: this._duty })
  }
}
