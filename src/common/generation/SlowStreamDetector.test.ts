import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { FakeEngines } from '../training/test/FakeEngines.js'
import type { Upstream } from '../upstream/Upstream.js'
import { MoveBudget } from './MoveBudget.js'
import { SlowStreamDetector } from './SlowStreamDetector.js'

describe('SlowStreamDetector', () => {
  let engines: FakeEngines
  let policy: MoveBudget
  let slow: Upstream

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date'] })
    mock.method(performance, 'now', () => Date.now())
    engines = new FakeEngines({ slow: [], other: [] })
    policy = new MoveBudget(engines.table)
    slow = engines.upstreams[0]!
    policy.record(engines.upstreams[1]!, 5)
    // The budget starts with one move; six generations earn another.
    for (let index = 0; index < 6; index++) policy.onRequest()
  })

  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  /** Milliseconds after the first chunk at which the stream is to move; undefined if it is not within a second. */
  function movesAfter (gapMs: number, excluded = new Set(['slow']), pauseAtMs = -1): number | undefined {
    const detector = new SlowStreamDetector(policy, slow, excluded)
    detector.recordChunk(1)
    const firstAtMs = Date.now()
    while (Date.now() - firstAtMs < 1000) {
      const isPause = Date.now() - firstAtMs === pauseAtMs
      mock.timers.tick(isPause ? 400 : gapMs)
      if (detector.recordChunk(1)) return Date.now() - firstAtMs
    }
    return undefined
  }

  it('moves a stream on a slowed engine within a fraction of a second', () => {
    expect(movesAfter(25)).toEqual(200)
  })

  // Guards against streams that circulate between engines of ordinary speed or without a faster one.
  it('keeps a stream that is slightly slow, or whose faster engine is full, excluded or unmeasured', () => {
    expect(movesAfter(15)).toEqual(undefined)
    expect(movesAfter(25, new Set(['slow', 'other']))).toEqual(undefined)
    engines.upstreams[1]!.outstanding = engines.upstreams[1]!.limit
    expect(movesAfter(25)).toEqual(undefined)
    engines.upstreams[1]!.outstanding = 0
    mock.timers.tick(60_000)
    expect(movesAfter(25)).toEqual(undefined)
  })

  // Guards against streams that stay on a slowed engine because the others ran short streams only.
  it('learns the speed of an engine from streams shorter than a window', () => {
    policy = new MoveBudget(engines.table)
    policy.onRequest()
    expect(movesAfter(25)).toEqual(undefined)
    const short = new SlowStreamDetector(policy, engines.upstreams[1]!, new Set())
    for (let chunk = 0; chunk < 10; chunk++) {
      short.recordChunk(1)
      mock.timers.tick(5)
    }
    short.recordCompletion()
    expect(movesAfter(25)).toEqual(200)
  })

  // Guards against moving all streams of an engine each time it puts new weights in place.
  it('keeps a stream through one pause', () => {
    expect(movesAfter(5, new Set(['slow']), 200)).toEqual(undefined)
  })

  it('stops moving when the budget is used up', () => {
    expect([movesAfter(25), movesAfter(25), movesAfter(25)]).toEqual([200, 200, undefined])
  })
})
