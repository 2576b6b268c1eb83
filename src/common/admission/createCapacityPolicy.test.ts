import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Upstream } from '../upstream/Upstream.js'
import { createCapacityPolicy } from './createCapacityPolicy.js'

describe('createCapacityPolicy', () => {
  // Guards against an unbounded baseline that is silently bounded, which would invalidate comparisons with it.
  it('allows requests beyond the limit only when unbounded', () => {
    const full = { limit: 2, outstanding: 2, outstandingLong: 2 } as Upstream
    const hasCapacity = (admission: 'bounded' | 'unbounded') => createCapacityPolicy(admission).hasCapacity(full, 'short', false, false, 0)
    expect([hasCapacity('bounded'), hasCapacity('unbounded')]).toEqual([false, true])
  })
})
