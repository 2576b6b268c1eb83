import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { AnnouncedVersions } from './AnnouncedVersions.js'
import { assignEngines } from './assignEngines.js'

/** Weight of a new batch in the exponential moving average of the demand. */
const DEMAND_WEIGHT = 0.4

/** Assigns the engines of a service to models; an engine loads new versions of its model only. */
export class ModelAssignments {
  /** Average demand of each model, in events per batch. */
  private readonly _demand = new Map<string, number>()
  /** Model of each engine, by service and engine id. */
  private readonly _assignments = new Map<string, Map<string, string>>()

  constructor (private readonly _fleet: IFleet, private readonly _announced: AnnouncedVersions) {}

  /** Updates the average demand of a model with that of a new batch, in events. */
  recordDemand (model: string, events: number): void {
    const known = this._demand.get(model)
    this._demand.set(model, known === undefined ? events : known + DEMAND_WEIGHT * (events - known))
  }

  /** Ids of the engines assigned to a model; undefined if the service has a single model, which uses all engines. */
  enginesOf (service: string, model: string): ReadonlySet<string> | undefined {
    const engines = this._fleet.listAvailable(service).filter(engine => engine.member.versions.size > 0)
    const models = [...new Set(engines.flatMap(engine => [...engine.member.versions.keys()]))].sort()
    if (models.length <= 1) return undefined
    const assignments = this._assign(service, engines, models)
    return new Set(engines.filter(engine => assignments.get(engine.member.id) === model).map(engine => engine.member.id))
  }

  private _assign (service: string, engines: readonly FleetUpstream[], models: readonly string[]): Map<string, string> {
    const demands = [...this._demand.values()]
    const meanDemand = demands.length === 0 ? 1 : demands.reduce((sum, events) => sum + events, 0) / demands.length
    const assignments = assignEngines(
      engines.map(engine => ({ id: engine.member.id, capacity: engine.member.slots / (engine.averageMs ?? 1) })),
      models.map(model => ({ model, demand: this._demand.get(model) ?? meanDemand })),
      this._assignments.get(service) ?? this._inferAssignments(engines)
    )
    this._assignments.set(service, assignments)
    return assignments
  }

  /**
   * Infers the assignments of the previous leader: an engine was assigned to the model of which its loaded version is
   * the fewest versions behind the announced one. If two models are equal in this, the engine stays unassigned.
   */
  private _inferAssignments (engines: readonly FleetUpstream[]): Map<string, string> {
    const announced = this._announced.all()
    const assignments = new Map<string, string>()
    for (const engine of engines) {
      const lags = [...engine.member.versions.keys()]
        .map(model => ({ model, lag: (announced.get(model)?.version ?? 1) - engine.versionOf(model) }))
        .sort((a, b) => a.lag - b.lag)
      const [first, second] = lags
      if (first !== undefined && first.lag < (second?.lag ?? Number.POSITIVE_INFINITY)) assignments.set(engine.member.id, first.model)
    }
    return assignments
  }
}
