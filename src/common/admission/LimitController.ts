import type { Upstream } from '../upstream/Upstream.js'

/** Ratio of smoothed to baseline time per unit above which the limit is decreased. */
const MAX_SLOWDOWN = 2
const DECREASE_FACTOR = 0.85
/** Fraction of the limit that must be in use for a completion to increase it. */
const MIN_UTILISATION = 0.7
/** Leaves a slot for short requests beside one long request. */
const MIN_LIMIT = 2
/** Upper bound for upstreams that report no capacity. */
const MAX_LIMIT = 256
const MIN_DECREASE_INTERVAL_MS = 100
/** Ratio of requests waiting at the upstream to its capacity above which the limit is decreased. */
const MAX_WAITING_RATIO = 0.5

interface LimitState {
  decreasedAtMs: number
  reportReadAtMs: number
}

/** Adapts the concurrency limit of upstreams by additive increase and multiplicative decrease. */
export class LimitController {
  private readonly _states = new WeakMap<Upstream, LimitState>()

  /** Called when a request completed; `outstanding` still includes it. */
  onCompleted (upstream: Upstream, size: 'short' | 'long', outstanding: number, durationMs: number, nowMs: number): void {
    const smoothedMs = upstream.times?.smoothed(size)
    const baselineMs = upstream.times?.baseline(size)
    const isSlow = smoothedMs !== undefined && baselineMs !== undefined && smoothedMs > baselineMs * MAX_SLOWDOWN
    if (isSlow || this._hasLongQueue(upstream)) {
      this._decrease(upstream, durationMs, nowMs)
    } else if (outstanding >= upstream.limit * MIN_UTILISATION) {
      const max = Math.max(MIN_LIMIT, upstream.load?.capacity ?? MAX_LIMIT)
      upstream.limit = Math.max(upstream.limit, Math.min(max, upstream.limit + 1 / upstream.limit))
    }
  }

  /** Called when a request exceeded its deadline or its stream stalled. */
  onTimeout (upstream: Upstream, nowMs: number): void {
    this._decrease(upstream, 0, nowMs)
  }

  /** True once for each load report in which too many requests wait at the upstream. */
  private _hasLongQueue (upstream: Upstream): boolean {
    const { load, loadReadAtMs = 0 } = upstream
    const state = this._state(upstream)
    if (load === undefined || loadReadAtMs <= state.reportReadAtMs) {
      return false
    }
    state.reportReadAtMs = loadReadAtMs
    return load.waiting > load.capacity * MAX_WAITING_RATIO
  }

  /** Decreases the limit at most once per duration of a request, because requests in flight still reflect the old limit. */
  private _decrease (upstream: Upstream, durationMs: number, nowMs: number): void {
    const state = this._state(upstream)
    if (nowMs - state.decreasedAtMs < Math.max(durationMs, MIN_DECREASE_INTERVAL_MS)) {
      return
    }
    state.decreasedAtMs = nowMs
    upstream.limit = Math.max(MIN_LIMIT, upstream.limit * DECREASE_FACTOR)
  }

  private _state (upstream: Upstream): LimitState {
    let state = this._states.get(upstream)
    if (state === undefined) {
      state = { decreasedAtMs: -Infinity, reportReadAtMs: 0 }
      this._states.set(upstream, state)
    }
    return state
  }
}
