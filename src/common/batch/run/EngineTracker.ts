import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { IFleet } from '../../fleet/IFleet.js'
import type { EngineConfig } from '../../routing/EngineConfig.js'
import type { IRouteTable } from '../../routing/IRouteTable.js'
import type { EngineView } from './EngineView.js'
import type { ItemRun } from './ItemRun.js'
import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from '../policy/LengthEstimator.js'

/** Event interval that is assumed until one has been measured at any engine. */
const DEFAULT_EVENT_INTERVAL_MS = 45

/** Tracks which engines are loading weights, and describes the engines of a service for engine selection. */
export class EngineTracker {
  /** Weight loads in progress by engine and model; runs of other models at the engine are not affected. */
  private readonly _loads = new Map<string, { timeoutAtMs: number, expectedAtMs: number }>()

  constructor (private readonly _fleet: IFleet, private readonly _routes: IRouteTable) {}

  /** Describes the engines of a service; `runs` are all runs in flight. */
  views (service: string, model: string, runs: Iterable<ItemRun>, estimator: LengthEstimator): EngineView[] {
    const reserved = this._reservedTokens(service, runs, estimator)
    const capacity = this._engineConfig(service)?.kvCapacityTokens ?? Number.POSITIVE_INFINITY
    const upstreams = this._fleet.listAvailable(service)
    const meanIntervalMs = findMeanIntervalMs(upstreams)
    return upstreams.map(upstream => ({
      id: upstream.member.id,
      version: upstream.versionOf(model),
      freeSlots: upstream.member.slots - upstream.outstanding,
      running: upstream.outstanding,
      eventIntervalMs: upstream.averageMs ?? meanIntervalMs,
      kvCapacityTokens: capacity,
      kvFreeTokens: capacity - (reserved.get(upstream.member.id) ?? 0),
      isExcluded: upstream.isExcluded,
      isLoading: this.isLoading(upstream.member.id, model)
    }))
  }

  /** Estimates the KV cache in tokens that an item needs when it completes, from its hint and its events so far. */
  estimateKvTokens (service: string, state: ItemState, estimator: LengthEstimator): number {
    const events = state.progress.events.length + estimator.remainingEvents(state)
    return state.item.promptTokens + events * (this._engineConfig(service)?.tokensPerEvent ?? 0)
  }

  private _engineConfig (service: string): EngineConfig | undefined {
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

  /** Marks an engine as loading weights of a model for at most `timeoutMs`; 0 clears the mark. */
  setLoading (engineId: string, model: string, timeoutMs: number, expectedMs: number): void {
    const nowMs = performance.now()
    if (timeoutMs > 0) this._loads.set(loadKey(engineId, model), { timeoutAtMs: nowMs + timeoutMs, expectedAtMs: nowMs + expectedMs })
    else this._loads.delete(loadKey(engineId, model))
  }

  isLoading (engineId: string, model: string): boolean {
    return performance.now() < (this._loads.get(loadKey(engineId, model))?.timeoutAtMs ?? 0)
  }

  /** Expected remaining time for which a load pauses the runs of a model at an engine, in milliseconds. */
  expectedPauseMs (engineId: string, model: string): number {
    return Math.max(0, (this._loads.get(loadKey(engineId, model))?.expectedAtMs ?? 0) - performance.now())
  }
}

function loadKey (engineId: string, model: string): string {
  return `${engineId} ${model}`
}

/** An engine without a measured event interval is assumed to have the mean of the others. */
function findMeanIntervalMs (upstreams: readonly FleetUpstream[]): number {
  const measured = upstreams.flatMap(upstream => upstream.averageMs ?? [])
  return measured.length === 0 ? DEFAULT_EVENT_INTERVAL_MS : measured.reduce((sum, intervalMs) => sum + intervalMs, 0) / measured.length
}
