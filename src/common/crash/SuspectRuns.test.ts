import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { SuspectRuns } from './SuspectRuns.js'

describe('SuspectRuns', () => {
  let runs: SuspectRuns

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date'], now: 1000 })
    runs = new SuspectRuns()
  })
  afterEach(() => mock.timers.reset())

  it('names a suspect while any of its runs is in progress', () => {
    const endFirst = runs.start('f')
    const endSecond = runs.start('f')
    endFirst(true)
    expect(runs.running()).toEqual(['f'])
    endSecond(true)
    expect(runs.running()).toEqual([])
  })

  // A caller that gives up early sends the request to another entry while it is still queued at its upstream.
  it('names a suspect for a while after a run without a response', () => {
    runs.start('f')(false)
    mock.timers.tick(900)
    expect(runs.running()).toEqual(['f'])
    mock.timers.tick(200)
    expect(runs.running()).toEqual([])
  })

  it('knows the runs of a peer until the peer names them no more, or is silent', () => {
    runs.setPeerRuns('a', ['f', 'g'])
    runs.setPeerRuns('b', ['g'])
    runs.setPeerRuns('a', ['f'])
    expect(['f', 'g'].map(fingerprint => runs.isRunningAtPeer(fingerprint))).toEqual([true, true])
    runs.setPeerRuns('b', [])
    expect(['f', 'g'].map(fingerprint => runs.isRunningAtPeer(fingerprint))).toEqual([true, false])
    mock.timers.tick(2100)
    expect(runs.isRunningAtPeer('f')).toEqual(false)
  })
})
