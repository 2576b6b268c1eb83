interface EngineCapacity { id: string, capacity: number }
interface ModelDemand { model: string, demand: number }

/** Engines by which a model may exceed its target before one is reassigned, since each change of model costs a load. */
const HYSTERESIS_ENGINES = 0.5

/**
 * Assigns the engines of a service to its models, so that few engines have to load each version. The summed capacity
 * (slots by speed) of a model's engines is in proportion to its demand. Each model has at least one engine if there
 * are enough. Engines keep their model as far as the targets allow; `previous` is the assignment so far.
 */
export function assignEngines (
  engines: readonly EngineCapacity[],
  models: readonly ModelDemand[],
  previous: ReadonlyMap<string, string>
): Map<string, string> {
  const assignments = new Map<string, string>()
  if (models.length === 0 || engines.length === 0) return assignments
  const totalCapacity = sum(engines.map(({ capacity }) => capacity))
  const totalDemand = sum(models.map(({ demand }) => demand))
  const meanCapacity = totalCapacity / engines.length
  const targets = new Map(models.map(({ model, demand }) =>
    [model, Math.max(meanCapacity, totalCapacity * (totalDemand > 0 ? demand / totalDemand : 1 / models.length))]))
  const assigned = new Map<string, number>()
  const assign = ({ id, capacity }: EngineCapacity, model: string): void => {
    assignments.set(id, model)
    assigned.set(model, (assigned.get(model) ?? 0) + capacity)
  }
  for (const engine of engines) {
    const model = previous.get(engine.id)
    const target = model === undefined ? undefined : targets.get(model)
    if (model === undefined || target === undefined) continue
    const capacity = assigned.get(model) ?? 0
    if (capacity === 0 || capacity + engine.capacity <= target + HYSTERESIS_ENGINES * meanCapacity) assign(engine, model)
  }
  // The fastest engines come first; each one goes to the model with the largest relative deficit.
  const unassigned = engines.filter(({ id }) => !assignments.has(id)).sort((a, b) => b.capacity - a.capacity || a.id.localeCompare(b.id))
  for (const engine of unassigned) {
    const deficit = (model: string): number => 1 - (assigned.get(model) ?? 0) / (targets.get(model) ?? 1)
    assign(engine, models.reduce((best, candidate) => deficit(candidate.model) > deficit(best.model) ? candidate : best).model)
  }
  for (const { model } of models) if (!assigned.has(model)) takeSlowest(model, engines, assignments)
  return assignments
}

/** Gives the slowest engine of the model with the most engines to one that has none. */
function takeSlowest (model: string, engines: readonly EngineCapacity[], assignments: Map<string, string>): void {
  const counts = new Map<string, number>()
  for (const owner of assignments.values()) counts.set(owner, (counts.get(owner) ?? 0) + 1)
  const [owner, count] = [...counts].reduce((best, next) => next[1] > best[1] ? next : best)
  if (count < 2) return
  const slowest = engines.filter(({ id }) => assignments.get(id) === owner).reduce((best, next) => next.capacity < best.capacity ? next : best)
  assignments.set(slowest.id, model)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
