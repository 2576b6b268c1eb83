import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestRatioBudget } from './RequestRatioBudget.js'

describe('RequestRatioBudget', () => {
  it('bounds hedges to the ratio when a hedge is due for every request', () => {
    const budget = new RequestRatioBudget(0.05)
    let hedges = 0
    for (let request = 0; request < 1000; request++) {
      budget.onRequest()
      if (budget.tryAcquire()) hedges++
    }
    expect(hedges >= 49 && hedges <= 51).toEqual(true)
  })

  it('accumulates a bounded number of hedges while none are sent', () => {
    const budget = new RequestRatioBudget(0.05)
    for (let request = 0; request < 10_000; request++) budget.onRequest()
    let hedges = 0
    while (hedges < 100 && budget.tryAcquire()) hedges++
    expect(hedges).toEqual(10)
  })
})
