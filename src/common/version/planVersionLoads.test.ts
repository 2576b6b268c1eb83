import { describe, it } from 'node:test'
import { expect } from 'earl'
import { assignEngines } from './assignEngines.js'
import type { EngineVersionView } from './EngineVersionView.js'
import { planVersionLoads } from './planVersionLoads.js'

const engine = (id: string, version: number, overrides: Partial<EngineVersionView> = {}): EngineVersionView =>
  ({ id, version, running: 0, eventIntervalMs: 30, isLoading: false, ...overrides })
const situation = { newestVersion: 3, namedForMs: 5000, waiting: 0, minVersion: 2, freeLoads: 2 }

describe('planLoads', () => {
  // Load: items wait, and engines two versions behind can serve none of them.
  it('loads engines that the open batch cannot use first, the fastest of them before the others', () => {
    const engines = [engine('slow', 1, { eventIntervalMs: 70 }), engine('fast', 1, { running: 3 }), engine('usable', 2)]
    expect(planVersionLoads({ ...situation, engines, waitingItemCount: 10 })).toEqual(['fast', 'slow'])
  })

  it('keeps engines that the open batch can use at work, and loads them once they are idle and nothing waits', () => {
    const engines = [engine('busy', 2, { running: 2 }), engine('idle', 2), engine('done', 3)]
    expect(planVersionLoads({ ...situation, engines, waitingItemCount: 1 })).toEqual([])
    expect(planVersionLoads({ ...situation, engines })).toEqual(['idle'])
  })

  it('leaves idle engines to the batch that comes just after a name', () => {
    expect(planVersionLoads({ ...situation, engines: [engine('idle', 2)], announcedForMs: 100 })).toEqual([])
  })

  it('never begins more loads than run at full speed side by side', () => {
    const engines = ['a', 'b', 'c', 'd'].map(id => engine(id, 1))
    expect(planVersionLoads({ ...situation, engines }).length).toEqual(2)
    expect(planVersionLoads({ ...situation, engines, freeLoadSlots: -1 })).toEqual([])
  })
})

describe('assignHomes', () => {
  const engines = (...capacities: number[]): Array<{ id: string, capacity: number }> => capacities.map((capacity, index) => ({ id: `e${index}`, capacity }))
  const counts = (homes: Map<string, string>): Record<string, number> => {
    const count: Record<string, number> = {}
    for (const model of homes.values()) count[model] = (count[model] ?? 0) + 1
    return count
  }

  // Load: three trainers share eight engines, and one asks for half as much as the others.
  it('deals engines by demand, with at least one for each model', () => {
    const models = [{ model: 'a', demand: 12 }, { model: 'b', demand: 6 }, { model: 'c', demand: 12 }]
    expect(counts(assignEngines(engines(1, 1, 1, 1, 1, 1, 1, 1), models, new Map()))).toEqual({ a: 3, c: 3, b: 2 })
    expect(counts(assignEngines(engines(1, 1, 1), models, new Map()))).toEqual({ a: 1, b: 1, c: 1 })
  })

  it('moves no engine when another one is lost, beyond what the shares ask for', () => {
    const models = [{ model: 'a', demand: 1 }, { model: 'b', demand: 1 }]
    const before = assignEngines(engines(1, 1, 1, 1, 1, 1), models, new Map())
    const after = assignEngines(engines(1, 1, 1, 1, 1, 1).slice(1), models, before)
    const moved = [...after].filter(([id, model]) => before.get(id) !== model)
    expect(moved.length <= 1).toEqual(true)
  })
})
