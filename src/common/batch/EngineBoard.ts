import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { EngineView } from './EngineView.js'

/** Expected time between two events before any engine has shown its pace. */
const DEFAULT_PACE_MS = 45

/** The engines of a model as the choice for an item sees them. */
export class EngineBoard {
  /** Loads by engine and model; runs of other models are not affected. */
  private readonly _loading = new Map<string, { limitAtMs: number, expectedAtMs: number }>()

  constructor (private readonly _fleet: IFleet) {}

  views (service: string, model: string): EngineView[] {
    const upstreams = this._fleet.ofService(service)
    const usualMs = usualPaceMs(upstreams)
    return upstreams.map(upstream => ({
      id: upstream.member.id,
      version: upstream.versionOf(model),
      freeSlots: upstream.member.slots - upstream.outstanding,
      running: upstream.outstanding,
      paceMs: upstream.averageMs ?? usualMs,
      isAvoided: upstream.isAvoided,
      isLoading: this.isLoading(upstream.member.id, model)
    }))
  }

  noteLoading (engineId: string, model: string, limitMs: number, expectedMs: number): void {
    const nowMs = performance.now()
    if (limitMs > 0) this._loading.set(keyOf(engineId, model), { limitAtMs: nowMs + limitMs, expectedAtMs: nowMs + expectedMs })
    else this._loading.delete(keyOf(engineId, model))
  }

  isLoading (engineId: string, model: string): boolean {
    return performance.now() < (this._loading.get(keyOf(engineId, model))?.limitAtMs ?? 0)
  }

  /** For how long the runs of a model at an engine are still expected to pause for a load. */
  pauseMs (engineId: string, model: string): number {
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
