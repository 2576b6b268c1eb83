import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { AnnouncedVersions } from './AnnouncedVersions.js'
import { assignEngines } from './assignEngines.js'

/** Weight of a new submission in the demand of its model. */
const DEMAND_WEIGHT = 0.4

/** Which engines of a service are kept on the newest version of which model. */
export class ModelAssignments {
  private readonly _demand = new Map<string, number>()
  private readonly _homes = new Map<string, Map<string, string>>()

  constructor (private readonly _fleet: IFleet, private readonly _names: AnnouncedVersions) {}

  /** Notes how much a model asks for with one batch. */
  noteDemand (model: string, amount: number): void {
    const known = this._demand.get(model)
    this._demand.set(model, known === undefined ? amount : known + DEMAND_WEIGHT * (amount - known))
  }

  /** Engines of the model; undefined when one model has all engines of the service. */
  enginesOf (service: string, model: string): ReadonlySet<string> | undefined {
    const engines = this._fleet.listAvailable(service).filter(engine => engine.member.versions.size > 0)
    const models = [...new Set(engines.flatMap(engine => [...engine.member.versions.keys()]))].sort()
    if (models.length <= 1) return undefined
    const homes = this._assign(service, engines, models)
    return new Set(engines.filter(engine => homes.get(engine.member.id) === model).map(engine => engine.member.id))
  }

  private _assign (service: string, engines: readonly FleetUpstream[], models: readonly string[]): Map<string, string> {
    const known = [...this._demand.values()]
    const usual = known.length === 0 ? 1 : known.reduce((sum, amount) => sum + amount, 0) / known.length
    const homes = assignEngines(
      engines.map(engine => ({ id: engine.member.id, capacity: engine.member.slots / (engine.averageMs ?? 1) })),
      models.map(model => ({ model, demand: this._demand.get(model) ?? usual })),
      this._homes.get(service) ?? this._homesByVersion(engines)
    )
    this._homes.set(service, homes)
    return homes
  }

  /** The homes that an earlier leader seems to have dealt: the model of which an engine lacks fewest versions. */
  private _homesByVersion (engines: readonly FleetUpstream[]): Map<string, string> {
    const named = this._names.all()
    const homes = new Map<string, string>()
    for (const engine of engines) {
      const lags = [...engine.member.versions.keys()]
        .map(model => ({ model, lag: (named.get(model)?.version ?? 1) - engine.versionOf(model) }))
        .sort((a, b) => a.lag - b.lag)
      const [first, second] = lags
      if (first !== undefined && first.lag < (second?.lag ?? Number.POSITIVE_INFINITY)) homes.set(engine.member.id, first.model)
    }
    return homes
  }
}
