import type { Upstream } from '../upstream/Upstream.js'

/** Smoothed time per unit, relative to the best one, above which the limit falls. */
const MAX_SLOWDOWN = 2
const DECREASE_FACTOR = 0.85
/** Part of the limit in use from which a completion raises it. */
const MIN_UTILISATION = 0.7
/** Leaves a place for short work beside one long request. */
const MIN_LIMIT = 2
/** Bound for upstreams that report no capacity. */
const MAX_LIMIT = 256
const MIN_DECREASE_INTERVAL_MS = 100
/** Part of the capacity that may wait at the upstream before the limit falls. */
const MAX_WAITING_RATIO = 0.5

interface LimitState {
  decreasedAtMs: number
  reportReadAtMs: number
}

/** Adapts the concurrency limit of upstreams by additive increase and multiplicative decrease. */
export class LimitController {
  private readonly _states = new WeakMap<Upstream, LimitState>()

  /** Called when a request completed; `outstanding` counts it still. */
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

  /** Called when a request ran into its deadline. */
  onTimeout (upstream: Upstream, nowMs: number): void {
    this._decrease(upstream, 0, nowMs)
  }

  private _hasLongQueue (upstream: Upstream): boolean {
    const { load, loadReadAtMs = 0 } = upstream
    const state = this._state(upstream)
    if (load === undefined || loadReadAtMs <= state.reportReadAtMs) {
      return false
    }
    state.reportReadAtMs = loadReadAtMs
    return load.waiting > load.capacity * MAX_WAITING_RATIO
  }

  /** Lowers the limit once per round trip, because the requests in flight still show the old limit. */
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
