interface EngineCapacity { id: string, capacity: number }
interface ModelDemand { model: string, demand: number }

/**
 * Deals the engines of a service to its models by demand, so that each version is loaded on few engines only.
 * Engines stay with their model while the shares allow it.
 */
export function assignEngines (
  engines: readonly EngineCapacity[],
  models: readonly ModelDemand[],
  before: ReadonlyMap<string, string>
): Map<string, string> {
  const homes = new Map<string, string>()
  if (models.length === 0) return homes
  const total = models.reduce((sum, { demand }) => sum + demand, 0)
  const share = new Map(models.map(({ model, demand }) => [model, Math.max(1, Math.round(engines.length * (total > 0 ? demand / total : 1 / models.length)))]))
  const count = new Map<string, number>()
  const assign = (id: string, model: string): void => {
    homes.set(id, model)
    count.set(model, (count.get(model) ?? 0) + 1)
  }
  for (const { id } of engines) {
    const model = before.get(id)
    if (model !== undefined && (count.get(model) ?? 0) < (share.get(model) ?? 0)) assign(id, model)
  }
  // The fastest engines go first, each to the model that lacks most of its share.
  const free = engines.filter(({ id }) => !homes.has(id)).sort((a, b) => b.capacity - a.capacity || a.id.localeCompare(b.id))
  for (const { id } of free) {
    const lack = (model: string): number => 1 - (count.get(model) ?? 0) / (share.get(model) ?? 1)
    const neediest = models.reduce((best, candidate) => lack(candidate.model) > lack(best.model) ? candidate : best)
    assign(id, neediest.model)
  }
  return homes
}
