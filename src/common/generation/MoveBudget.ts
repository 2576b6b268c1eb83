import { RequestRatioBudget } from '../forward/RequestRatioBudget.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { IMovePolicy } from './IMovePolicy.js'

/** Part of the generations that may be moved; a move costs a prefill, not a second generation. */
const MOVE_PART = 0.2
/** How many times faster another engine must be to make up for the prefill. */
const MIN_GAIN = 4
/** Weight of a new measurement. */
const WEIGHT = 0.3
/** Age from which a measurement says nothing any more. */
const MAX_AGE_MS = 30_000

/** Moves a stream when another engine with room has run much faster lately, within a budget. */
export class MoveBudget implements IMovePolicy {
  private readonly _budget = new RequestRatioBudget(MOVE_PART)
  private readonly _paces = new WeakMap<Upstream, { paceMs: number, atMs: number }>()

  constructor (private readonly _table: IUpstreamTable) {}

  onRequest (): void {
    this._budget.onRequest()
  }

  record (engine: Upstream, paceMs: number): void {
    const before = this._paces.get(engine)?.paceMs ?? paceMs
    this._paces.set(engine, { paceMs: before + WEIGHT * (paceMs - before), atMs: performance.now() })
  }

  tryAcquire (engine: Upstream, paceMs: number, excluded: ReadonlySet<string>): boolean {
    const nowMs = performance.now()
    const isFaster = this._table.available(engine.service).some((other) => {
      const known = this._paces.get(other)
      return other !== engine && !excluded.has(other.id) && other.outstanding < Math.floor(other.limit) &&
        known !== undefined && nowMs - known.atMs < MAX_AGE_MS && known.paceMs * MIN_GAIN <= paceMs
    })
    return isFaster && this._budget.tryAcquire()
  }
}
