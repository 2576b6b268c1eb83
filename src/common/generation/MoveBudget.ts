import { RequestRatioBudget } from '../forward/RequestRatioBudget.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { IMovePolicy } from './IMovePolicy.js'

/** Upper bound of moves as a ratio of the generations; a move costs a prefill, not a second generation. */
const MOVE_RATIO = 0.2
/** Required speed of the other engine as a multiple of the current one, to make up for the prefill. */
const MIN_SPEEDUP = 4
/** Weight of a new measurement in the exponential moving average. */
const EMA_WEIGHT = 0.3
/** Age from which a measurement is ignored. */
const MAX_MEASUREMENT_AGE_MS = 30_000

/** Moves a stream if another engine with free capacity has recently been much faster, within a budget. */
export class MoveBudget implements IMovePolicy {
  private readonly _budget = new RequestRatioBudget(MOVE_RATIO)
  private readonly _measurements = new WeakMap<Upstream, { tokenIntervalMs: number, atMs: number }>()

  constructor (private readonly _table: IUpstreamTable) {}

  onRequest (): void {
    this._budget.onRequest()
  }

  record (engine: Upstream, tokenIntervalMs: number): void {
    const previousMs = this._measurements.get(engine)?.tokenIntervalMs ?? tokenIntervalMs
    this._measurements.set(engine, { tokenIntervalMs: previousMs + EMA_WEIGHT * (tokenIntervalMs - previousMs), atMs: performance.now() })
  }

  tryAcquire (engine: Upstream, tokenIntervalMs: number, excluded: ReadonlySet<string>): boolean {
    const nowMs = performance.now()
    const hasFasterEngine = this._table.available(engine.service).some((other) => {
      const measured = this._measurements.get(other)
      return other !== engine && !excluded.has(other.id) && other.outstanding < Math.floor(other.limit) &&
        measured !== undefined && nowMs - measured.atMs < MAX_MEASUREMENT_AGE_MS && measured.tokenIntervalMs * MIN_SPEEDUP <= tokenIntervalMs
    })
    return hasFasterEngine && this._budget.tryAcquire()
  }
}
