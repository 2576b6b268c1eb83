import { describe, it } from 'node:test'
import { expect } from 'earl'
import { checkHistory } from './checkHistory.js'
import type { Call } from './Call.js'
import type { History } from './History.js'
import { createHistory } from './testing/createHistory.js'

/** Rules that a history breaks after the change. */
function broken (change: (history: History) => void): string[] {
  const history = createHistory()
  change(history)
  return [...new Set(checkHistory(history).map(violation => violation.rule))]
}

function cut (id: string, fields: Partial<Call> = {}): (history: History) => void {
  return history => Object.assign(history.calls.find(call => call.id === id)!, { end: 'cut', content: '', status: 0, ...fields })
}

describe('checkHistory', () => {
  it('finds nothing in a correct history', () => {
    expect(broken(() => {})).toEqual([])
  })

  it('1: finds tokens of another version than their range names, gaps and ranges that are too short', () => {
    const sample = (history: History) => history.trainers[0]!.received[0]!.samples[0]!
    expect(broken(history => { sample(history).origin[1]!.version = 5 })).toEqual(['1 origin'])
    expect(broken(history => { sample(history).origin[1]!.from = 1 })).toEqual(['1 origin'])
    expect(broken(history => { sample(history).origin.pop() })).toEqual(['1 origin'])
    expect(broken(history => { sample(history).origin[0]!.kv_version = 9 })).toEqual(['1 origin'])
    expect(broken(history => { sample(history).text = '3001 ' })).toEqual(['1 origin'])
  })

  it('2: finds a sample beyond the staleness bound, also by its KV cache only', () => {
    const received = (history: History) => history.trainers[0]!.received[0]!
    expect(broken(history => { received(history).version_known = 6 })).toEqual(['2 staleness'])
    expect(broken(history => { received(history).samples[0]!.origin[1]!.kv_version = 2 })).toEqual(['2 staleness'])
  })

  it('3: finds a group received twice, a sample too many or missing and a group that never came', () => {
    const rule = ['3 exactly once']
    expect(broken(({ trainers: [trainer] }) => { trainer!.received.push(trainer!.received[0]!) })).toEqual(rule)
    expect(broken(({ trainers: [trainer] }) => { trainer!.received[0]!.samples[1]!.index = 0 })).toEqual(rule)
    expect(broken(({ trainers: [trainer] }) => { trainer!.received[0]!.samples.pop() })).toEqual(rule)
    expect(broken(({ trainers: [trainer] }) => { trainer!.received.pop() })).toEqual(rule)
  })

  it('4: finds the response to another request and half of a stream', () => {
    expect(broken(history => { history.calls[0]!.content = 'c9' })).toEqual(['4 own response'])
    expect(broken(history => { history.calls[4]!.content = '1 ' })).toEqual(['4 own response'])
  })

  it('5: finds a run of a request refused as not_run, also of a further attempt, but not one that only waited', () => {
    const run = (requestId: string, hasStarted: boolean) => (history: History) => {
      history.runs.push({ upstream: 'order-app-2', requestId, key: '', atMs: 1050, hasStarted })
    }
    expect(broken(run('c4', true))).toEqual(['5 not_run'])
    expect(broken(run('c4.2', true))).toEqual(['5 not_run'])
    expect(broken(run('c4', false))).toEqual([])
  })

  it('6: finds a key that ran twice and one that was answered and never ran', () => {
    const second = { upstream: 'order-app-2', requestId: 'c3', key: 'k', atMs: 1070, hasStarted: true }
    expect(broken(history => { history.runs.push(second) })).toEqual(['6 at most once'])
    expect(broken(history => { history.runs.splice(1, 1) })).toEqual(['6 at most once'])
  })

  it('7: finds work that a leaving upstream began after the window, unless the mark was hindered', () => {
    const late = (history: History) => {
      history.runs.push({ upstream: 'order-app-1', requestId: 'c9', key: '', atMs: 7500, hasStarted: true })
    }
    expect(broken(late)).toEqual(['7 leaving'])
    expect(broken(history => { history.runs.push({ upstream: 'order-app-1', requestId: 'c9', key: '', atMs: 6000, hasStarted: true }) })).toEqual([])
    const hindered = (kind: string, target: string) => broken(history => {
      late(history)
      history.faults.push({ kind, target, fromMs: 1500, toMs: 4000 })
    })
    expect(hindered('entry_pause', 'entry-4')).toEqual([])
    expect(hindered('service_freeze', 'order-app-2')).toEqual(['7 leaving'])
    expect(hindered('upstream_leaving', 'order-app-1')).toEqual(['7 leaving'])
    const ofOtherEntry = (history: History) => {
      history.runs.push({ upstream: 'order-app-1', requestId: 'c1', key: '', atMs: 7500, hasStarted: true })
      history.faults.push({ kind: 'entry_pause', target: 'entry-4', fromMs: 1500, toMs: 4000 })
    }
    expect(broken(ofOtherEntry)).toEqual(['7 leaving'])
  })

  it('8: excuses a request that met the close of its kept connection, and only that', () => {
    expect(broken(cut('c3', { isKept: true }))).toEqual([])
    expect(broken(cut('c3', { isKept: true, status: 200 }))).toEqual(['8 planned stop'])
    expect(broken(cut('c1', { isKept: true }))).toEqual(['8 planned stop'])
  })

  it('8: finds a request cut by a stop, unless a kill or a pause of its entry touched it', () => {
    expect(broken(cut('c3'))).toEqual(['8 planned stop'])
    expect(broken(cut('c5'))).toEqual(['8 planned stop'])
    expect(broken(cut('c1'))).toEqual(['8 planned stop'])
    const touched = (target: string, fromMs: number) => broken(history => {
      cut('c3')(history)
      history.faults.push({ kind: 'entry_kill', target, fromMs, toMs: fromMs + 500 })
    })
    expect(touched('entry-2', 1050)).toEqual([])
    expect(touched('entry-3', 1050)).toEqual(['8 planned stop'])
    expect(touched('entry-2', 4000)).toEqual(['8 planned stop'])
  })

  it('8: finds a stop that did not end with code 0', () => {
    expect(broken(history => { history.stops[0]!.exitCode = 1 })).toEqual(['8 planned stop'])
    expect(broken(history => { history.stops[0]!.exitCode = null })).toEqual(['8 planned stop'])
  })

  it('9: finds a contract that reverts, differs between entries or is late', () => {
    const view = { entry: 'entry-1', organisation: 'lin-shun', revision: 1, text: 'one', atMs: 1300, isFinal: false }
    expect(broken(history => { history.views.push(view) })).toEqual(['9 contracts'])
    expect(broken(history => { history.views.push({ ...view, entry: 'entry-2', revision: 2 }) })).toEqual(['9 contracts'])
    expect(broken(history => { history.publications.push({ ...history.publications[0]!, operator: 'ilona', text: 'other' }) })).toEqual(['9 contracts'])
    const late = { ...view, entry: 'entry-2', atMs: 11_200 }
    expect(broken(history => { history.views.push(late) })).toEqual(['9 contracts'])
    expect(broken(history => { history.views.push({ ...late, atMs: 11_000 }) })).toEqual([])
    const hindered = (isFinal: boolean) => broken(history => {
      history.faults.push({ kind: 'log_outage', target: 'log', fromMs: 2000, toMs: 4000 })
      history.views.push({ ...late, isFinal })
    })
    expect([hindered(false), hindered(true)]).toEqual([[], ['9 contracts']])
    expect(broken(history => { history.views.push({ ...late, atMs: 1050, isFinal: true }) })).toEqual([])
    expect(broken(history => { history.views.push({ ...late, atMs: 1150, isFinal: true }) })).toEqual(['9 contracts'])
  })

  it('finds a call without an end and work that does not settle', () => {
    expect(broken(cut('c1', { end: 'hang' }))).toEqual(['ends'])
    expect(broken(history => { history.unsettled.push('ticket k') })).toEqual(['ends'])
  })
})
