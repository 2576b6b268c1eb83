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
    // The budget starts with one move; six generations add another.
    for (let index = 0; index < 6; index++) policy.onRequest()
  })

  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  /** Milliseconds from the first chunk until the stream is to be moved; undefined if not within a second. */
  function findMoveTimeMs (chunkIntervalMs: number, excluded = new Set(['slow']), pauseAtMs = -1): number | undefined {
    const detector = new SlowStreamDetector(policy, slow, excluded)
    detector.recordChunk(1)
    const firstChunkAtMs = Date.now()
    while (Date.now() - firstChunkAtMs < 1000) {
      const isPause = Date.now() - firstChunkAtMs === pauseAtMs
      mock.timers.tick(isPause ? 400 : chunkIntervalMs)
      if (detector.recordChunk(1)) return Date.now() - firstChunkAtMs
    }
    return undefined
  }

  it('moves a stream on a slowed engine within a fraction of a second', () => {
    expect(findMoveTimeMs(25)).toEqual(200)
  })

  // Guards against streams that move back and forth between engines of similar speed, or without a faster engine.
  it('does not move a stream that is slightly slow, or if the faster engine is full, excluded or not measured lately', () => {
    expect(findMoveTimeMs(15)).toEqual(undefined)
    expect(findMoveTimeMs(25, new Set(['slow', 'other']))).toEqual(undefined)
    engines.upstreams[1]!.outstanding = engines.upstreams[1]!.limit
    expect(findMoveTimeMs(25)).toEqual(undefined)
    engines.upstreams[1]!.outstanding = 0
    mock.timers.tick(60_000)
    expect(findMoveTimeMs(25)).toEqual(undefined)
  })

  // Guards against streams that stay on a slowed engine because the other engines ran only short streams.
  it('measures the speed of an engine from streams shorter than a window', () => {
    policy = new MoveBudget(engines.table)
    policy.onRequest()
    expect(findMoveTimeMs(25)).toEqual(undefined)
    const short = new SlowStreamDetector(policy, engines.upstreams[1]!, new Set())
    for (let chunk = 0; chunk < 10; chunk++) {
      short.recordChunk(1)
      mock.timers.tick(5)
    }
    short.recordCompletion()
    expect(findMoveTimeMs(25)).toEqual(200)
  })

  // Guards against moving all streams of an engine each time it loads new weights.
  it('does not move a stream after a single pause', () => {
    expect(findMoveTimeMs(5, new Set(['slow']), 200)).toEqual(undefined)
  })

  it('moves no more streams when the budget is used up', () => {
    expect([findMoveTimeMs(25), findMoveTimeMs(25), findMoveTimeMs(25)]).toEqual([200, 200, undefined])
  })
})
