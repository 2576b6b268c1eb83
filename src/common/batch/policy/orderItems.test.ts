import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Batch } from '../Batch.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'
import { LengthEstimator } from './LengthEstimator.js'
import { orderItems } from './orderItems.js'
import type { StepView } from './StepView.js'

const NOW_MS = 100_000
const TOKENS_PER_EVENT = 60
const estimator = new LengthEstimator()

/** Creates a step from the item lengths of its groups, in events; items are named STEP GROUP INDEX. */
function createStep (name: string, groups: number[][], overrides: { dueInMs?: number, priority?: number, groupsWanted?: number, organisation?: string } = {}): StepView {
  const items = groups.flatMap((lengths, group) => lengths.map((events, index) => createItem(`${name}${group}${index}`, `${name}${group}`, events * TOKENS_PER_EVENT)))
  const { dueInMs = 5000, priority = 0, groupsWanted = groups.length, organisation } = overrides
  return { batch: new Batch(createSpec({ id: name, groupsWanted, itemCount: items.length, organisation }), items), priority, deadlineAtMs: NOW_MS + dueInMs }
}

const order = (...steps: StepView[]): string[] => orderItems(steps, estimator, NOW_MS).map(({ state }) => state.item.id)

describe('orderItems', () => {
  // Three trainers on too few engines. Guards against spare groups of an earlier step that delay a later one.
  it('starts the groups that trainers wait for before the spare ones of any step, earliest deadline first', () => {
    const steps = [createStep('c', [[10]], { dueInMs: 6000 }), createStep('a', [[10], [20]], { dueInMs: 2000, groupsWanted: 1 }), createStep('b', [[10], [20]], { dueInMs: 4000, groupsWanted: 1 })]
    expect(order(...steps)).toEqual(['a00', 'b00', 'c00', 'a10', 'b10'])
  })

  // Guards against a step that is late already and makes the next one late too.
  it('lets a late step yield to one that can meet its deadline, but its needed groups precede spare ones', () => {
    expect(order(createStep('late', [[10]], { dueInMs: -100 }), createStep('due', [[10], [20]], { groupsWanted: 1 }))).toEqual(['due00', 'late00', 'due10'])
  })

  // Guards against starvation under a steady load of steps in time.
  it('puts a step first again that has been late for as long as trainers wait', () => {
    expect(order(createStep('due', [[10]]), createStep('late', [[10]], { dueInMs: -4600 }))).toEqual(['late00', 'due00'])
  })

  // Guards against a route of lower priority that is served better because its steps are due sooner.
  it('starts a higher priority first, whatever its deadline', () => {
    expect(order(createStep('low', [[10]], { priority: 1, dueInMs: 500 }), createStep('high', [[10], [20]], { dueInMs: -100, groupsWanted: 1 }))).toEqual(['high00', 'high10', 'low00'])
  })

  // One organisation floods with four steps that are due sooner. Guards against another one that waits for all of them.
  it('gives the next places to the organisation with the fewest runs', () => {
    const flood = ['f', 'g', 'h', 'i'].map(name => createStep(name, [[10, 10]], { dueInMs: 1000, organisation: 'flood' }))
    const [running] = flood[0]?.batch.items ?? []
    if (running !== undefined) running.status = 'running'
    expect(order(...flood, createStep('x', [[10, 10, 10]], { organisation: 'other' })).slice(0, 5)).toEqual(['x00', 'f01', 'x01', 'g00', 'x02'])
  })

  // Guards against a last long item that alone makes a step late.
  it('starts the longest needed item of a step first', () => {
    expect(order(createStep('a', [[10, 20], [140, 5]]))).toEqual(['a10', 'a01', 'a00', 'a11'])
  })

  // Older deployments have one trainer: the order of its single step is that of rankItems, needed before spare groups.
  it('orders a single step as before', () => {
    expect(order(createStep('a', [[10, 40], [20, 30], [5, 180]], { groupsWanted: 2 }))).toEqual(['a01', 'a11', 'a10', 'a00', 'a20', 'a21'])
  })
})
