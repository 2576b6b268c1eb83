import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { ScalingConfig } from '../routing/ScalingConfig.js'
import { planScaling } from './planScaling.js'
import type { ScalingPlanInput } from './ScalingPlanInput.js'

const config: ScalingConfig = { minCount: 1, maxCount: 8, bootMs: 4000, priceByDomain: new Map([['a', 1], ['b', 0.8]]) }

function createInput (change: Partial<ScalingPlanInput>): ScalingPlanInput {
  return {
    service: 's',
    config,
    domains: [{ failureDomain: 'a', regular: 4, spot: 0 }, { failureDomain: 'b', regular: 4, spot: 0 }],
    slotsPerUpstream: 6,
    sustained: { running: 48, waiting: 0 },
    mayOrder: () => true,
    ...change
  }
}

describe('planScaling', () => {
  it('orders nothing while no work waits, or while free slots can take what waits', () => {
    expect(planScaling(createInput({}))).toEqual(undefined)
    expect(planScaling(createInput({ sustained: { running: 20, waiting: 10 } }))).toEqual(undefined)
  })

  // Guards against a queue that outlasts the start of new upstreams while none are ordered.
  it('orders upstreams for work that keeps waiting, in the cheapest failure domain with room', () => {
    const sustained = { running: 48, waiting: 20 }
    expect(planScaling(createInput({ sustained }))).toEqual({ service: 's', failureDomain: 'b', isSpot: false, count: 6 })
    expect(planScaling(createInput({ sustained, mayOrder: failureDomain => failureDomain === 'a' }))?.failureDomain).toEqual('a')
    const domains = [{ failureDomain: 'a', regular: 8, spot: 0 }, { failureDomain: 'b', regular: 8, spot: 0 }]
    expect(planScaling(createInput({ sustained: { running: 96, waiting: 90 }, domains }))).toEqual(undefined)
  })

  // Guards against the loss of most of the capacity when the platform reclaims all spot upstreams.
  it('prefers spot upstreams, but not beyond a third of all', () => {
    const withSpot = { ...config, spotPriceShare: 0.2 }
    const sustained = { running: 48, waiting: 200 }
    expect(planScaling(createInput({ config: withSpot, sustained }))).toEqual({ service: 's', failureDomain: 'b', isSpot: true, count: 2 })
    const domains = [{ failureDomain: 'a', regular: 4, spot: 0 }, { failureDomain: 'b', regular: 4, spot: 4 }]
    expect(planScaling(createInput({ config: withSpot, sustained, domains }))?.isSpot).toEqual(false)
  })

  // Guards against oscillation: what a burst needs is not given back between two bursts.
  it('gives one upstream back in the most expensive failure domain when the highest demand leaves room', () => {
    const sustained = { running: 3, waiting: 0 }
    expect(planScaling(createInput({ sustained, peakSlots: 10 }))).toEqual({ service: 's', failureDomain: 'a', isSpot: false, count: 3 })
    expect(planScaling(createInput({ sustained, peakSlots: 40 }))).toEqual(undefined)
    expect(planScaling(createInput({ sustained }))).toEqual(undefined)
    const domains = [{ failureDomain: 'a', regular: 1, spot: 0 }, { failureDomain: 'b', regular: 1, spot: 0 }]
    expect(planScaling(createInput({ sustained, peakSlots: 0, domains }))).toEqual(undefined)
  })

  it('never leaves the limits of a failure domain, whatever the demand and the number of upstreams', () => {
    const domain = (failureDomain: string): fc.Arbitrary<{ failureDomain: string, regular: number, spot: number }> =>
      fc.record({ failureDomain: fc.constant(failureDomain), regular: fc.nat(8), spot: fc.nat(4) }).filter(({ regular, spot }) => regular + spot >= 1 && regular + spot <= 8)
    fc.assert(fc.property(domain('a'), domain('b'), fc.nat(300), fc.nat(300), fc.option(fc.nat(300), { nil: undefined }), (a, b, running, waiting, peakSlots) => {
      const order = planScaling(createInput({ config: { ...config, spotPriceShare: 0.3 }, domains: [a, b], sustained: { running, waiting }, peakSlots }))
      if (order === undefined) return
      const { regular, spot } = order.failureDomain === 'a' ? a : b
      const size = order.isSpot ? regular + order.count : order.count + spot
      expect(size >= config.minCount && size <= config.maxCount).toEqual(true)
    }))
  })
})
