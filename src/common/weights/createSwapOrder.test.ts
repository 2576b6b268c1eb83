import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createSwapOrder } from './createSwapOrder.js'
import type { SwapCandidate } from './SwapCandidate.js'

function candidate (id: string, running: number, failures: number): SwapCandidate {
  return { engine: { id, outstanding: running, peerOutstanding: 0, unitTimeMs: 1 }, target: { stalenessBound: 1 }, lag: 1, failures } as SwapCandidate
}

describe('createSwapOrder', () => {
  // Guards against an engine with failing loads that delays the others, in both orders.
  it('puts engines with failed loads last, and sorts by requests in flight only when planned', () => {
    const candidates = [candidate('failing', 0, 1), candidate('busy', 3, 0), candidate('idle', 0, 0)]
    const ids = (order: 'planned' | 'listed') => createSwapOrder(order).sort(candidates).map(({ engine }) => engine.id)
    expect(ids('planned')).toEqual(['idle', 'busy', 'failing'])
    expect(ids('listed')).toEqual(['busy', 'idle', 'failing'])
  })
})
