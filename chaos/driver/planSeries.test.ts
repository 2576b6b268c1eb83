import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planSeries } from './planSeries.js'

const ENTRIES = ['entry-1', 'entry-2', 'entry-3']

describe('planSeries', () => {
  it('draws the same series for the same seed, each at one entry and in quick succession', () => {
    const faults = planSeries(7, 20_000, ENTRIES)
    expect(faults).toEqual(planSeries(7, 20_000, ENTRIES))
    expect(faults.length).toBeGreaterThanOrEqual(10)
    expect(faults.every(({ target }) => ENTRIES.includes(target))).toEqual(true)
  })
})
