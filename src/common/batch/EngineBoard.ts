import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { EngineView } from './EngineView.js'

/** Expected time between two events before any engine has shown its pace. */
const DEFAULT_PACE_MS = 45

/** The engines of a model as the choice for an item sees them. */
export class EngineBoard {
  private readonly _loading = new Map<string, { limitAtMs: number, expectedAtMs: number }>()

  constructor (
    private readonly _fleet: IFleet,
    private readonly _homeEngines: (service: string, model: string) => ReadonlySet<string> | undefined
  ) {}

  views (service: string, model: string): EngineView[] {
    const home = this._homeEngines(service, model)
    const upstreams = this._fleet.ofService(service).filter(upstream => home === undefined || home.has(upstream.member.id))
    const usualMs = usualPaceMs(upstreams)
    return upstreams.map(upstream => ({
      id: upstream.member.id,
      version: upstream.versionOf(model),
      freeSlots: upstream.member.slots - upstream.outstanding,
      running: upstream.outstanding,
      paceMs: upstream.averageMs ?? usualMs,
      isAvoided: upstream.isAvoided,
      isLoading: this.isLoading(upstream.member.id)
    }))
  }

  noteLoading (engineId: string, limitMs: number, expectedMs: number): void {
    const nowMs = performance.now()
    if (limitMs > 0) this._loading.set(engineId, { limitAtMs: nowMs + limitMs, expectedAtMs: nowMs + expectedMs })
    else this._loading.delete(engineId)
  }

  isLoading (engineId: string): boolean {
    return performance.now() < (this._loading.get(engineId)?.limitAtMs ?? 0)
  }

  /** For how long the runs of an engine are still expected to pause for a load. */
  pauseMs (engineId: string): number {
    return Math.max(0, (this._loading.get(engineId)?.expectedAtMs ?? 0) - performance.now())
  }
}

/** An engine that has not shown its pace is taken for an average one, neither better nor worse. */
function usualPaceMs (upstreams: readonly FleetUpstream[]): number {
  const known = upstreams.flatMap(upstream => upstream.averageMs ?? [])
  return known.length === 0 ? DEFAULT_PACE_MS : known.reduce((sum, paceMs) => sum + paceMs, 0) / known.length
}
