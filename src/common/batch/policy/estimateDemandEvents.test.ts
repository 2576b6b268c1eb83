import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createItem } from '../test/createItem.js'
import { estimateDemandEvents } from './estimateDemandEvents.js'

describe('estimateDemandEvents', () => {
  // Three trainers share the engines, and one sends no length hints. Guards against a demand that counts the prompt and
  // the maximum output of its items: it got most of the engines, and the others missed their deadlines.
  it('gives trainers with equal work similar demand, with and without hints and whatever the maximum output', () => {
    const hinted = Array.from({ length: 96 }, (_, index) => createItem(`a${index}`, 'g', 1500))
    const unhinted = Array.from({ length: 96 }, (_, index) => ({ ...createItem(`b${index}`, 'g'), promptTokens: 1016, tokens: 10_016 }))
    const ratio = estimateDemandEvents(unhinted) / estimateDemandEvents(hinted)
    expect([ratio > 0.8, ratio < 1.25]).toEqual([true, true])
  })

  it('grows with the hints and with the number of items', () => {
    const [short, long] = [createItem('a', 'g', 600), createItem('b', 'g', 6000)]
    expect(estimateDemandEvents([long])).toEqual(10 * estimateDemandEvents([short]))
    expect(estimateDemandEvents([short, short])).toEqual(2 * estimateDemandEvents([short]))
    expect(estimateDemandEvents([])).toEqual(0)
  })
})
