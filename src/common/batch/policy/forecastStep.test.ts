import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Batch } from '../Batch.js'
import type { EngineView } from '../run/EngineView.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'
import { forecastStep } from './forecastStep.js'
import { LengthEstimator } from './LengthEstimator.js'

const engine = (id: string, overrides: Partial<EngineView> = {}): EngineView =>
  ({ id, version: 2, freeSlots: 1, running: 1, eventIntervalMs: 50, kvCapacityTokens: 1, kvFreeTokens: 1, isExcluded: false, isLoading: false, ...overrides })

describe('forecastStep', () => {
  const batch = new Batch(createSpec({ minVersion: 2, groupsWanted: 2, itemCount: 4 }), [createItem('a', 'g', 600), createItem('b', 'g', 1200), createItem('c', 'h', 1800), createItem('d', 'i', 9000)])
  const step = { batch, priority: 0, deadlineAtMs: 0 }

  // A step with few usable engines. Guards against a forecast that leaves out the queue, or counts spare groups.
  it('expects the longest needed item or all needed work at the usable slots, whichever takes longer', () => {
    expect(forecastStep(step, [engine('x')], new LengthEstimator()).expectedMs).toEqual(30 * 50)
    expect(forecastStep(step, [engine('x', { freeSlots: 0 })], new LengthEstimator()).expectedMs).toEqual(60 * 50)
  })

  // All engines have too old a version. Guards against a forecast by engines that may not run any item.
  it('expects no time without an engine of an accepted version', () => {
    expect(forecastStep(step, [engine('x', { version: 1 })], new LengthEstimator())).toEqual({ waiting: 4, running: 0, remainingEvents: 60, usableSlots: 0, expectedMs: undefined })
  })
})
