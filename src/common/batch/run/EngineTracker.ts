import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { IFleet } from '../../fleet/IFleet.js'
import type { EngineConfig } from '../../routing/EngineConfig.js'
import type { IRouteTable } from '../../routing/IRouteTable.js'
import type { EngineView } from './EngineView.js'
import type { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from '../policy/LengthEstimator.js'

/** Expected time between two events before any engine has shown its pace. */
const DEFAULT_PACE_MS = 45

/** The engines of a model as the choice for an item sees them. */
export class EngineTracker {
  /** Loads by engine and model; runs of other models are not affected. */
  private readonly _loading = new Map<string, { limitAtMs: number, expectedAtMs: number }>()

  constructor (private readonly _fleet: IFleet, private readonly _routes: IRouteTable) {}

  /** `runs` are all that run now. */
  views (service: string, model: string, runs: Iterable<ItemRun>, estimator: LengthEstimator): EngineView[] {
    const reserved = this._reservedTokens(service, runs, estimator)
    const capacity = this._engineInfo(service)?.kvCapacityTokens ?? Number.POSITIVE_INFINITY
    const upstreams = this._fleet.listAvailable(service)
    const usualMs = usualPaceMs(upstreams)
    return upstreams.map(upstream => ({
      id: upstream.member.id,
      version: upstream.versionOf(model),
      freeSlots: upstream.member.slots - upstream.outstanding,
      running: upstream.outstanding,
      paceMs: upstream.averageMs ?? usualMs,
      kvCapacityTokens: capacity,
      kvFreeTokens: capacity - (reserved.get(upstream.member.id) ?? 0),
      isAvoided: upstream.isExcluded,
      isLoading: this.isLoading(upstream.member.id, model)
    }))
  }

  /** Memory that an item needs in the end, as far as its hint and its events tell. */
  estimateKvTokens (service: string, state: ItemState, estimator: LengthEstimator): number {
    const events = state.progress.events.length + estimator.remainingEvents(state)
    return state.item.promptTokens + events * (this._engineInfo(service)?.tokensPerEvent ?? 0)
  }

  private _engineInfo (service: string): EngineConfig | undefined {
    return this._routes.config?.services.get(service)?.engine
  }

  private _reservedTokens (service: string, runs: Iterable<ItemRun>, estimator: LengthEstimator): Map<string, number> {
    const reserved = new Map<string, number>()
    for (const run of runs) {
      const { id } = run.engine.member
      reserved.set(id, (reserved.get(id) ?? 0) + this.estimateKvTokens(service, run.state, estimator))
    }
    return reserved
  }

  setLoading (engineId: string, model: string, limitMs: number, expectedMs: number): void {
    const nowMs = performance.now()
    if (limitMs > 0) this._loading.set(keyOf(engineId, model), { limitAtMs: nowMs + limitMs, expectedAtMs: nowMs + expectedMs })
    else this._loading.delete(keyOf(engineId, model))
  }

  isLoading (engineId: string, model: string): boolean {
    return performance.now() < (this._loading.get(keyOf(engineId, model))?.limitAtMs ?? 0)
  }

  /** For how long the runs of a model at an engine are still expected to pause for a load. */
  expectedPauseMs (engineId: string, model: string): number {
    return Math.max(0, (this._loading.get(keyOf(engineId, model))?.expectedAtMs ?? 0) - performance.now())
  }
}

function keyOf (engineId: string, model: string): string {
  return `${engineId} ${model}`
}

/** An engine that has not shown its pace is taken for an average one, neither better nor worse. */
function usualPaceMs (upstreams: readonly FleetUpstream[]): number {
  const known = upstreams.flatMap(upstream => upstream.averageMs ?? [])
  return known.length === 0 ? DEFAULT_PACE_MS : known.reduce((sum, paceMs) => sum + paceMs, 0) / known.length
}
