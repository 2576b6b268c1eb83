import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { Emitter } from '../kernel/Emitter.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { CallStart } from './CallStart.js'

describe('CallStart', () => {
  let time: VirtualTime
  let starts: Array<[string, number]>
  let start: CallStart

  beforeEach(() => {
    time = new VirtualTime()
    starts = []
    start = new CallStart({ onStopping: new Emitter<void>().event, recordStart: (organisation, atUnixMs) => starts.push([organisation, atUnixMs]) }, 'org')
  })
  afterEach(() => time.restore())

  // Guards against requests that count in the window of a hedge or of the response.
  it('counts once, at the time of the first attempt that ran, although a later one settles first', async () => {
    const sentAtMs = Date.now()
    const settleFirst = start.onSent()
    await time.advance(100)
    const settleHedge = start.onSent()
    settleHedge(true)
    expect(starts).toEqual([])
    settleFirst(true)
    expect(starts).toEqual([['org', sentAtMs]])
  })

  // Guards against requests that are counted although all upstreams declined them.
  it('skips declined attempts, and counts nothing when all were declined', async () => {
    start.onSent()(false)
    await time.advance(100)
    const sentAtMs = Date.now()
    const settle = start.onSent()
    settle(false)
    expect(starts).toEqual([])
    start.onSent()(true)
    expect(starts).toEqual([['org', sentAtMs]])
  })

  // Guards against requests that are missing from the report because their response takes longer than the report may.
  it('counts an attempt that has been pending for two seconds, once', async () => {
    const sentAtMs = Date.now()
    const settle = start.onSent()
    await time.advance(1990)
    expect(starts).toEqual([])
    await time.advance(10)
    expect(starts).toEqual([['org', sentAtMs]])
    settle(true)
    expect(starts.length).toEqual(1)
  })
})
