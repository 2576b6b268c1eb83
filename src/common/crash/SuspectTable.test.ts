import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { ILogHub } from '../log/ILogHub.js'
import { SuspectTable } from './SuspectTable.js'

const silent = { info () {}, warn () {}, error () {}, debug () {} }

describe('SuspectTable', () => {
  let appended: unknown[]
  let table: SuspectTable

  const apply = (upstream: string, bootId: string, fingerprints: string[], timeMs = Date.now()): void => {
    table.apply({ offset: 1, timeMs, value: { type: 'crash', id: crypto.randomUUID(), upstream, boot_id: bootId, fingerprints } })
  }
  const settle = (): void => mock.timers.tick(1_500)

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date'], now: 10_000_000 })
    appended = []
    table = new SuspectTable({ appendEventually: (_stream: string, record: unknown) => appended.push(record) } as unknown as ILogHub, silent)
  })

  afterEach(() => mock.timers.reset())

  it('makes requests in flight suspects and reports them through the log', () => {
    table.recordCrash('u', 'b1', ['f', 'g'])
    expect([table.isSuspect('f'), table.isBlocked('f'), table.isSuspect('other')]).toEqual([true, false, false])
    expect(appended.length).toEqual(1)
    table.recordCrash('u', 'b2', [])
    expect(appended.length).toEqual(1)
    expect(table.suspects()).toEqual(['f', 'g'])
  })

  // A caller with a short deadline repeats at another entry before the crash records of the first one arrive.
  it('lets no suspect run again until the crash records of other entries can have arrived', () => {
    table.recordCrash('u', 'b1', ['poison'])
    expect([table.isAwaitingCrashRecords('poison'), table.isBlocked('poison')]).toEqual([true, false])
    mock.timers.tick(100)
    apply('v', 'b1', ['poison'])
    mock.timers.tick(150)
    expect([table.isAwaitingCrashRecords('poison'), table.isBlocked('poison')]).toEqual([true, false])
    settle()
    expect(table.isBlocked('poison')).toEqual(true)
  })

  it('lets a suspect that was not condemned run soon after its crash', () => {
    table.recordCrash('u', 'b1', ['innocent'])
    mock.timers.tick(250)
    expect([table.isAwaitingCrashRecords('innocent'), table.isSuspect('innocent')]).toEqual([false, true])
  })

  it('blocks at the second crash as the only suspect, after the records of others can have arrived', () => {
    table.recordCrash('u', 'b1', ['poison', 'innocent'])
    table.recordCrash('u', 'b2', ['poison', 'new'])
    expect([table.isAwaitingCrashRecords('poison'), table.isBlocked('poison')]).toEqual([true, false])
    settle()
    expect([table.isAwaitingCrashRecords('poison'), table.isBlocked('poison')]).toEqual([false, true])
    expect([table.isBlocked('innocent'), table.isBlocked('new')]).toEqual([false, false])
  })

  it('takes the second crash beside another suspect for no proof, even when its record comes later', () => {
    table.recordCrash('u', 'b1', ['poison', 'innocent'])
    table.recordCrash('u', 'b2', ['innocent'])
    apply('u', 'b2', ['poison'])
    settle()
    expect([table.isBlocked('innocent'), table.isBlocked('poison')]).toEqual([false, false])
  })

  // Guards against blocking a request because of crashes that a proven culprit explains.
  it('clears requests of the crashes beside a proven culprit', () => {
    table.recordCrash('u', 'b1', ['poison', 'innocent'])
    table.recordCrash('u', 'b2', ['poison'])
    settle()
    expect([table.isBlocked('poison'), table.isSuspect('innocent')]).toEqual([true, false])
    table.recordCrash('u', 'b3', ['innocent', 'other'])
    settle()
    expect([table.isBlocked('innocent'), table.isSuspect('innocent')]).toEqual([false, true])
  })

  it('blocks at the third crash in all', () => {
    for (const bootId of ['b1', 'b2', 'b3']) table.recordCrash('u', bootId, ['f', 'g'])
    settle()
    expect([table.isBlocked('f'), table.isBlocked('g')]).toEqual([true, true])
  })

  it('lets a request run once more that crashed beside others only, and blocks it at the next crash', () => {
    for (const bootId of ['b1', 'b2', 'b3']) table.recordCrash('u', bootId, ['poison', 'innocent'])
    mock.timers.tick(9_900)
    expect([table.isBlocked('poison'), table.isBlocked('innocent')]).toEqual([true, true])
    mock.timers.tick(200)
    expect([table.isBlocked('poison'), table.isSuspect('poison'), table.isBlocked('innocent')]).toEqual([false, true, false])
    table.recordCompletion('innocent')
    table.recordCrash('u', 'b4', ['poison', 'other'])
    mock.timers.tick(500_000)
    expect([table.isBlocked('poison'), table.isSuspect('innocent')]).toEqual([true, false])
  })

  it('gives no further run to the only suspect of a crash', () => {
    for (const bootId of ['b1', 'b2', 'b3']) table.recordCrash('u', bootId, ['poison'])
    mock.timers.tick(500_000)
    expect(table.isBlocked('poison')).toEqual(true)
  })

  it('counts the records of several entries for one boot as one crash', () => {
    table.recordCrash('u', 'b1', ['f'])
    apply('u', 'b1', ['f'])
    apply('u', 'b1', ['f'])
    settle()
    expect(table.isBlocked('f')).toEqual(false)
  })

  it('clears a suspect that completes, so that later crashes count from the start', () => {
    table.recordCrash('u', 'b1', ['f'])
    mock.timers.tick(10)
    table.recordCompletion('f')
    expect(table.isSuspect('f')).toEqual(false)
    mock.timers.tick(10)
    table.recordCrash('u', 'b2', ['f'])
    settle()
    expect([table.isSuspect('f'), table.isBlocked('f')]).toEqual([true, false])
  })

  it('forgets crashes after ten minutes, also when they are read from the log at start', () => {
    apply('u', 'b0', ['old'], Date.now() - 600_001)
    expect(table.isSuspect('old')).toEqual(false)
    table.recordCrash('u', 'b1', ['f'])
    mock.timers.tick(600_001)
    expect(table.isSuspect('f')).toEqual(false)
  })

  it('handles a request that a peer names as a suspect for a while, unless it completed here', () => {
    table.addPeerSuspects(['f'])
    expect(table.isSuspect('f')).toEqual(true)
    table.recordCompletion('f')
    table.addPeerSuspects(['f', 'g'])
    expect([table.isSuspect('f'), table.isSuspect('g')]).toEqual([false, true])
    mock.timers.tick(11_000)
    expect(table.isSuspect('g')).toEqual(false)
  })
})
