import { describe, it } from 'node:test'
import { expect } from 'earl'
import { assignEngines } from './assignEngines.js'
import type { EngineVersionView } from './EngineVersionView.js'
import { planVersionLoads } from './planVersionLoads.js'

const engine = (id: string, version: number, overrides: Partial<EngineVersionView> = {}): EngineVersionView =>
  ({ id, version, running: 0, runningSingleVersion: 0, eventIntervalMs: 30, isLoading: false, ...overrides })
const input = { newestVersion: 3, announcedForMs: 5000, waitingItemCount: 0, minVersion: 2, freeLoadSlots: 2 }

describe('planVersionLoads', () => {
  // Items wait, and engines two versions behind cannot run any of them.
  it('loads engines that the open batch cannot use first, the fastest first', () => {
    const engines = [engine('slow', 1, { eventIntervalMs: 70 }), engine('fast', 1, { running: 3 }), engine('usable', 2)]
    expect(planVersionLoads({ ...input, engines, waitingItemCount: 10 })).toEqual(['fast', 'slow'])
  })

  // Two steps of a trainer are open, and a load would spoil the output of the earlier one (review/2).
  it('does not load engines that run items of a single version until these have ended', () => {
    const engines = [engine('running', 1, { running: 2, runningSingleVersion: 2 }), engine('free', 1, { running: 1 })]
    expect(planVersionLoads({ ...input, engines, waitingItemCount: 10 })).toEqual(['free'])
  })

  it('does not load engines that the open batch can use until they are idle and no item waits', () => {
    const engines = [engine('busy', 2, { running: 2 }), engine('idle', 2), engine('done', 3)]
    expect(planVersionLoads({ ...input, engines, waitingItemCount: 1 })).toEqual([])
    expect(planVersionLoads({ ...input, engines })).toEqual(['idle'])
  })

  it('keeps idle engines free for the batch that follows an announcement', () => {
    expect(planVersionLoads({ ...input, engines: [engine('idle', 2)], announcedForMs: 100 })).toEqual([])
  })

  it('never starts more loads than there are free load slots', () => {
    const engines = ['a', 'b', 'c', 'd'].map(id => engine(id, 1))
    expect(planVersionLoads({ ...input, engines }).length).toEqual(2)
    expect(planVersionLoads({ ...input, engines, freeLoadSlots: -1 })).toEqual([])
  })
})

describe('assignEngines', () => {
  const engines = (...capacities: number[]): Array<{ id: string, capacity: number }> => capacities.map((capacity, index) => ({ id: `e${index}`, capacity }))
  const counts = (assignments: Map<string, string>): Record<string, number> => {
    const byModel: Record<string, number> = {}
    for (const model of assignments.values()) byModel[model] = (byModel[model] ?? 0) + 1
    return byModel
  }

  // Three trainers share eight engines, and one has half the demand of the others.
  it('assigns engines by demand, with at least one for each model', () => {
    const models = [{ model: 'a', demand: 12 }, { model: 'b', demand: 6 }, { model: 'c', demand: 12 }]
    expect(counts(assignEngines(engines(1, 1, 1, 1, 1, 1, 1, 1), models, new Map()))).toEqual({ a: 3, c: 3, b: 2 })
    expect(counts(assignEngines(engines(1, 1, 1), models, new Map()))).toEqual({ a: 1, b: 1, c: 1 })
  })

  it('reassigns no more engines than the targets require when one is lost', () => {
    const models = [{ model: 'a', demand: 1 }, { model: 'b', demand: 1 }]
    const before = assignEngines(engines(1, 1, 1, 1, 1, 1), models, new Map())
    const after = assignEngines(engines(1, 1, 1, 1, 1, 1).slice(1), models, before)
    const moved = [...after].filter(([id, model]) => before.get(id) !== model)
    expect(moved.length <= 1).toEqual(true)
  })

  // Engines of speeds 1.0 and 2.0. Guards against an assignment by count, which gives one model half of the capacity
  // that it needs once the other has kept the fast engines.
  it('assigns engines by capacity and not by count', () => {
    const uneven = engines(2, 2, 1, 1, 1, 1)
    const previous = new Map([['e0', 'a'], ['e1', 'a'], ['e2', 'a'], ['e3', 'b'], ['e4', 'b'], ['e5', 'b']])
    const assignments = assignEngines(uneven, [{ model: 'a', demand: 1 }, { model: 'b', demand: 1 }], previous)
    const capacityOf = (model: string): number => uneven.filter(({ id }) => assignments.get(id) === model).reduce((sum, { capacity }) => sum + capacity, 0)
    expect([capacityOf('a'), capacityOf('b')]).toEqual([4, 4])
  })

  // Demand varies from step to step. Guards against engines that change their model, and load, for a small difference.
  it('keeps the assignment when the demand changes by less than half an engine', () => {
    const before = assignEngines(engines(1, 1, 1, 1, 1, 1), [{ model: 'a', demand: 10 }, { model: 'b', demand: 10 }], new Map())
    expect(assignEngines(engines(1, 1, 1, 1, 1, 1), [{ model: 'a', demand: 11 }, { model: 'b', demand: 9.5 }], before)).toEqual(before)
  })

  // A third trainer joins with little demand. Guards against a model without any engine, whose items would wait for good.
  it('gives an engine to a model that has none, also when the others are within their targets', () => {
    const previous = new Map([['e0', 'a'], ['e1', 'a'], ['e2', 'b'], ['e3', 'b']])
    const models = [{ model: 'a', demand: 50 }, { model: 'b', demand: 50 }, { model: 'c', demand: 1 }]
    expect(counts(assignEngines(engines(1, 1, 1, 1), models, previous)).c).toEqual(1)
  })
})
