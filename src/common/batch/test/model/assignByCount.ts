interface EngineCapacity { id: string, capacity: number }
interface ModelDemand { model: string, demand: number }

/**
 * Assigns the engines of a service to its models in proportion to demand, so that few engines have to load each
 * version. Engines keep their model as far as the targets allow; `previous` is the assignment so far.
 */
export function assignByCount (
  engines: readonly EngineCapacity[],
  models: readonly ModelDemand[],
  previous: ReadonlyMap<string, string>
): Map<string, string> {
  const assignments = new Map<string, string>()
  if (models.length === 0) return assignments
  const total = models.reduce((sum, { demand }) => sum + demand, 0)
  const targetCounts = new Map(models.map(({ model, demand }) => [model, Math.max(1, Math.round(engines.length * (total > 0 ? demand / total : 1 / models.length)))]))
  const counts = new Map<string, number>()
  const assign = (id: string, model: string): void => {
    assignments.set(id, model)
    counts.set(model, (counts.get(model) ?? 0) + 1)
  }
  for (const { id } of engines) {
    const model = previous.get(id)
    if (model !== undefined && (counts.get(model) ?? 0) < (targetCounts.get(model) ?? 0)) assign(id, model)
  }
  // The fastest engines come first; each one goes to the model with the largest relative deficit.
  const unassigned = engines.filter(({ id }) => !assignments.has(id)).sort((a, b) => b.capacity - a.capacity || a.id.localeCompare(b.id))
  for (const { id } of unassigned) {
    const deficit = (model: string): number => 1 - (counts.get(model) ?? 0) / (targetCounts.get(model) ?? 1)
    const selected = models.reduce((best, candidate) => deficit(candidate.model) > deficit(best.model) ? candidate : best)
    assign(id, selected.model)
  }
  return assignments
}
