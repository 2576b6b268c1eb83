import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestRatioBudget } from './RequestRatioBudget.js'

describe('HedgeBudget', () => {
  it('bounds hedges to the part of the requests when every request is slow', () => {
    const budget = new RequestRatioBudget(0.05)
    let hedges = 0
    for (let request = 0; request < 1000; request++) {
      budget.onRequest()
      if (budget.tryAcquire()) hedges++
    }
    expect(hedges >= 49 && hedges <= 51).toEqual(true)
  })

  it('saves up only a few hedges in a long time without slow requests', () => {
    const budget = new RequestRatioBudget(0.05)
    for (let request = 0; request < 10_000; request++) budget.onRequest()
    let hedges = 0
    while (hedges < 100 && budget.tryAcquire()) hedges++
    expect(hedges).toEqual(10)
  })
})
