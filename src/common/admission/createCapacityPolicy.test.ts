import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Upstream } from '../upstream/Upstream.js'
import { createCapacityPolicy } from './createCapacityPolicy.js'

describe('createRoomPolicy', () => {
  // Guards against a baseline that is silently bounded, which would make comparisons with it worthless.
  it('sends beyond the limit only without bounds', () => {
    const full = { limit: 2, outstanding: 2, outstandingLong: 2 } as Upstream
    const hasRoom = (admission: 'bounded' | 'unbounded') => createCapacityPolicy(admission).hasCapacity(full, 'short', false, false, 0)
    expect([hasRoom('bounded'), hasRoom('unbounded')]).toEqual([false, true])
  })
})
