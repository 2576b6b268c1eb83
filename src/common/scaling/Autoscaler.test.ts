import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { FleetTable } from '../fleet/FleetTable.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { testServices } from '../log/test/testServices.js'
import type { IRouteTable } from '../routing/IRouteTable.js'
import { Autoscaler } from './Autoscaler.js'
import type { ScalingOrder } from './ScalingOrder.js'

describe('Autoscaler', () => {
  const { logger, metrics } = testServices()
  let time: VirtualTime
  let fleet: FleetTable
  let autoscaler: Autoscaler
  let orders: ScalingOrder[]
  let outcome: 'accepted' | 'unavailable' | 'retry'
  let token: number | undefined
  let isFleetKnown: boolean
  let waiting: number

  beforeEach(() => {
    time = new VirtualTime()
    orders = []
    outcome = 'accepted'
    token = 7
    isFleetKnown = true
    waiting = 30
    fleet = new FleetTable(logger)
    for (const id of ['u1', 'u2']) fleet.apply({ id, startedAtMs: 0, service: 's', address: id, failureDomain: 'a', slots: 6, isDraining: false, versions: new Map() })
    for (const upstream of fleet.all()) upstream.outstanding = 6
    const scaling = { minCount: 1, maxCount: 4, bootMs: 4000, priceByDomain: new Map([['a', 1]]) }
    const routes = { config: { services: new Map([['s', { name: 's', scaling }]]) } } as unknown as IRouteTable
    const client = { order: async (order: ScalingOrder) => { orders.push(order); return outcome } }
    autoscaler = new Autoscaler({ holder: 'e', token: () => token, isFleetKnown: () => isFleetKnown }, fleet, routes, { countWaitingItemsOfService: () => waiting }, client, logger, metrics)
  })
  afterEach(() => {
    autoscaler.dispose()
    time.restore()
  })

  // Guards against upstreams that start when the burst that asked for them is over.
  it('orders once work has waited for as long as an upstream needs to start, and not for a shorter burst', async () => {
    await time.advance(3500, 100)
    waiting = 0
    await time.advance(500, 100)
    waiting = 30
    await time.advance(3500, 100)
    expect(orders).toEqual([])
    await time.advance(1500, 100)
    expect(orders).toEqual([{ service: 's', failureDomain: 'a', isSpot: false, count: 3 }])
  })

  // Guards against a second order for upstreams that are still starting.
  it('waits for ordered upstreams before it orders more, also when the response was lost', async () => {
    for (outcome of ['accepted', 'retry'] as const) {
      orders = []
      await time.advance(20_000, 100)
      const counts = orders.map(({ count }) => count)
      expect(counts.every(count => count === 3)).toEqual(true)
      expect(orders.length <= 4).toEqual(true)
    }
  })

  it('orders nothing without the duty, or while the list of upstreams may be out of date', async () => {
    token = undefined
    await time.advance(10_000, 100)
    token = 7
    isFleetKnown = false
    await time.advance(10_000, 100)
    expect(orders).toEqual([])
  })

  // Guards against a new holder that gives upstreams back, because it saw no demand while another entry led.
  it('does not judge the demand by what it saw before it had the duty', async () => {
    token = undefined
    waiting = 0
    for (const upstream of fleet.all()) upstream.outstanding = 0
    await time.advance(130_000)
    token = 7
    for (const upstream of fleet.all()) upstream.outstanding = 6
    await time.advance(30_000)
    expect(orders).toEqual([])
  })

  // Guards against upstreams that nobody counts, so that too many are ordered, or none.
  it('counts upstreams in failure domains without a price', async () => {
    fleet.apply({ id: 'u3', startedAtMs: 0, service: 's', address: 'u3', failureDomain: 'unpriced', slots: 30, isDraining: false, versions: new Map() })
    await time.advance(10_000)
    expect(orders).toEqual([])
  })

  it('tries again some time after none were available', async () => {
    outcome = 'unavailable'
    await time.advance(9000, 100)
    expect(orders.length).toEqual(1)
    await time.advance(10_000, 100)
    expect(orders.length).toEqual(2)
  })
})
