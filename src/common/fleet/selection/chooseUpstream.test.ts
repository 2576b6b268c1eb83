import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseUpstream } from './chooseUpstream.js'
import { FleetUpstream } from '../FleetUpstream.js'

function upstream (id: string, averageMs: number, outstanding = 0): FleetUpstream {
  const created = new FleetUpstream({ id, startedAtMs: 0, service: 's', address: '', failureDomain: 'd', slots: 2, isDraining: false, versions: new Map() })
  created.averageMs = averageMs
  created.outstanding = outstanding
  return created
}

const choose = (...candidates: FleetUpstream[]): string | undefined => chooseUpstream(candidates, performance.now(), () => 0)?.member.id

describe('chooseUpstream', () => {
  // Guards against sending to an idle but slow upstream while the others are half busy.
  it('prefers a busy fast upstream to an idle slow one until requests queue there', () => {
    expect(choose(upstream('fast', 30, 1), upstream('slow', 120))).toEqual('fast')
    expect(choose(upstream('fast', 30, 9), upstream('slow', 120))).toEqual('slow')
  })

  it('counts the requests of other processes while the load reading is recent', () => {
    const reported = upstream('reported', 30)
    reported.recordLoad({ running: 2, waiting: 8, slots: 2, slowdownFactor: 1 })
    expect(choose(reported, upstream('other', 40))).toEqual('other')
  })

  it('uses an excluded upstream only if there is no other', () => {
    const failing = upstream('failing', 10)
    failing.recordFailure()
    expect(choose(failing, upstream('other', 300))).toEqual('other')
    expect(choose(failing)).toEqual('failing')
    expect(choose()).toEqual(undefined)
  })
})
