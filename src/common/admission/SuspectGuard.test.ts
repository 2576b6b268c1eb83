import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { Upstream } from '../upstream/Upstream.js'
import { SuspectGuard } from './SuspectGuard.js'

const noSuspects = { isSuspect: () => false, isAwaitingCrashRecords: () => false, isRunningAtPeer: () => false } as unknown as ISuspectTable

describe('SuspectGuard', () => {
  let guard: SuspectGuard
  let upstream: { loadReadAtMs?: number }

  const mustWait = (): boolean => guard.mustWait('s', 'f')

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date'], now: 1000 })
    mock.method(performance, 'now', () => Date.now())
    guard = new SuspectGuard(noSuspects)
    upstream = { loadReadAtMs: 900 }
    guard.onReset('f', upstream as Upstream)
  })

  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  // Without the wait, a retry or another entry crashes the next upstream before the first crash is detected.
  it('holds back a request that was reset, and no other one', () => {
    expect([mustWait(), guard.mustWait('s', 'other')]).toEqual([true, false])
  })

  it('releases it when its upstream responds to a poll', () => {
    upstream.loadReadAtMs = 1010
    mock.timers.tick(20)
    expect([mustWait(), guard.isSuspect('f')]).toEqual([false, true])
  })

  it('releases it after a wait when its upstream responds to no poll', () => {
    mock.timers.tick(250)
    expect([mustWait(), guard.isSuspect('f')]).toEqual([false, true])
  })
  it('holds back a suspect that a peer may be running, and no other request', () => {
    const table = { isSuspect: (fingerprint: string) => fingerprint === 'suspect', isAwaitingCrashRecords: () => false, isRunningAtPeer: () => true } as unknown as ISuspectTable
    guard = new SuspectGuard(table)
    expect([guard.mustWait('s', 'suspect'), guard.mustWait('s', 'other')]).toEqual([true, false])
  })

  it('reports whether an upstream may still be running a suspect', () => {
    const ended: boolean[] = []
    const table = { startRun: () => (isResolved: boolean) => ended.push(isResolved) } as unknown as ISuspectTable
    guard = new SuspectGuard(table)
    guard.startRun('s', 'f')({ kind: 'completed', durationMs: 1, units: 1 })
    guard.startRun('s', 'f')({ kind: 'timeout' })
    guard.startRun('s', 'f')({ kind: 'failed', sent: true })
    guard.startRun('s', 'f')({ kind: 'failed', sent: false })
    expect(ended).toEqual([true, false, false, true])
  })
})
