import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { LoadReport } from '../schema/LoadReport.js'
import type { Member } from '../schema/Member.js'
import { UpstreamTable } from './UpstreamTable.js'

const silent = { info () {}, warn () {}, error () {}, debug () {}, count () {}, gauge () {}, duration () {} }
const member = (patch: Partial<Member> = {}): Member => ({
  id: 'u', role: 'upstream', service: 's', address: '127.0.0.1:1', failure_domain: 'f', state: 'live', incarnation: '1', ...patch
})
const load = (bootId: string, state: LoadReport['state'] = 'serving'): LoadReport => ({
  boot_id: bootId, state, running: 0, waiting: 0, capacity: 4, reported_at_ms: 0
})
const work = (fingerprint: string) => ({ size: 'short' as const, units: 1, fingerprint })

describe('UpstreamTable', () => {
  let table: UpstreamTable
  let crashes: Array<{ bootId: string, fingerprints: string[] }>

  const isAvailable = (): boolean => table.available('s').length === 1
  const report = (bootId: string, state?: LoadReport['state']): void => table.updateLoad('u', load(bootId, state), performance.now())

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1000 })
    mock.method(performance, 'now', () => Date.now())
    table = new UpstreamTable(silent, silent)
    crashes = []
    table.onCrash(({ bootId, fingerprints }) => crashes.push({ bootId, fingerprints }))
    table.updateMembers([member()])
    report('b1')
  })

  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('keeps leaving from any source against older views from the others', () => {
    report('b1', 'leaving')
    expect(isAvailable()).toEqual(false)
    table.updateMembers([member()])
    report('b1', 'serving')
    expect(isAvailable()).toEqual(false)
    table.updateMembers([member({ incarnation: '2' })])
    expect(isAvailable()).toEqual(true)
    table.markLeaving('u', '1')
    expect(isAvailable()).toEqual(true)
    table.markLeaving('u', '2')
    expect(isAvailable()).toEqual(false)
  })

  it('ends leaving with a new boot id although the list still lags', () => {
    table.updateMembers([member({ state: 'leaving' })])
    expect(isAvailable()).toEqual(false)
    report('b2')
    table.updateMembers([member({ state: 'leaving' })])
    expect(isAvailable()).toEqual(true)
    table.updateMembers([member({ incarnation: '2' })])
    table.updateMembers([member({ incarnation: '2', state: 'leaving' })])
    expect(isAvailable()).toEqual(false)
  })

  it('gives no new work to an upstream that the list no longer names', () => {
    table.updateMembers([])
    expect(table.available('s')).toEqual([])
    expect(table.get('u')).toEqual(undefined)
  })

  it('reports a new boot id once, with the requests in flight', () => {
    table.beginRequest('u', work('f1'))
    table.beginRequest('u', work('f2'))
    report('b2')
    report('b2')
    expect(crashes).toEqual([{ bootId: 'b1', fingerprints: ['f1', 'f2'] }])
  })

  it('takes a refused connection for a crash only after requests were reset, once per boot', () => {
    table.reportFailure('u', false)
    expect([crashes.length, isAvailable()]).toEqual([0, false])
    report('b1')
    table.endRequest('u', table.beginRequest('u', work('f1')), { kind: 'failed', sent: true })
    expect(isAvailable()).toEqual(true)
    table.reportPollFailure('u', true)
    table.reportPollFailure('u', true)
    report('b2')
    expect(crashes).toEqual([{ bootId: 'b1', fingerprints: ['f1'] }])
  })

  it('forgets resets that lie far before the end of a boot', () => {
    table.endRequest('u', table.beginRequest('u', work('f1')), { kind: 'failed', sent: true })
    mock.timers.tick(11_000)
    report('b2')
    expect(crashes).toEqual([{ bootId: 'b1', fingerprints: [] }])
  })

  // It may have waited at the upstream when its caller left, and crashed it later.
  it('suspects a request whose deadline passed or whose caller left shortly before the crash', () => {
    table.endRequest('u', table.beginRequest('u', work('old')), { kind: 'timeout' })
    mock.timers.tick(2_500)
    table.endRequest('u', table.beginRequest('u', work('f1')), { kind: 'timeout' })
    table.endRequest('u', table.beginRequest('u', work('f2')), { kind: 'abandoned' })
    table.endRequest('u', table.beginRequest('u', work('f3')), { kind: 'cancelled' })
    table.reportPollFailure('u', true)
    expect(crashes).toEqual([{ bootId: 'b1', fingerprints: ['f1', 'f2'] }])
  })

  it('blames no request when a leaving upstream ends', () => {
    table.beginRequest('u', work('f1'))
    report('b1', 'leaving')
    report('b2')
    expect(crashes).toEqual([{ bootId: 'b1', fingerprints: [] }])
  })

  it('brings a down upstream back with a low limit, but not by an answer older than the failure', () => {
    table.get('u')!.limit = 50
    const startedAtMs = performance.now()
    mock.timers.tick(10)
    table.reportFailure('u', false)
    table.updateLoad('u', load('b1'), startedAtMs)
    expect(isAvailable()).toEqual(false)
    report('b1')
    expect([isAvailable(), table.get('u')!.limit]).toEqual([true, 2])
  })

  it('measures time per unit of work, and leaves times of failed requests out', () => {
    const request = table.beginRequest('u', { ...work('f'), size: 'long', units: 200 })
    expect([table.get('u')!.outstanding, table.get('u')!.outstandingLong]).toEqual([1, 1])
    table.endRequest('u', request, { kind: 'completed', durationMs: 1000, units: 100 })
    table.endRequest('u', table.beginRequest('u', work('g')), { kind: 'failed', sent: true })
    expect([table.get('u')!.times!.smoothed('long'), table.get('u')!.outstanding]).toEqual([10, 0])
    expect(table.get('u')!.times!.smoothed('short')).toEqual(undefined)
  })

  it('takes poll timeouts for down only while nothing completes', () => {
    for (let poll = 0; poll < 3; poll++) {
      table.endRequest('u', table.beginRequest('u', work('f')), { kind: 'completed', durationMs: 1, units: 1 })
      table.reportPollFailure('u', false)
    }
    expect(isAvailable()).toEqual(true)
    mock.timers.tick(3000)
    table.reportPollFailure('u', false)
    expect(isAvailable()).toEqual(false)
  })
})
