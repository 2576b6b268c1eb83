import { describe, it } from 'node:test'
import { expect } from 'earl'
import { parseLogLine } from './parseLogLine.js'
import { traceLogLines } from './traceLogLines.js'

const at = (second: number, text: string): string => `time=2026-01-01T00:00:0${second} ${text}`

describe('traceLogLines', () => {
  const submitted = at(1, 'entry=e1 batch=b1 step=3 event=batch_submitted')
  const run = at(2, 'entry=e1 batch=b1 item=i1 reason="reset: \\"gone\\"" event=item_run_ended')
  const lost = at(3, 'entry=e1 reason=replaced event=leadership_lost')
  const rerun = at(4, 'entry=e2 batch=b1 item=i1 outcome=complete event=item_run_ended')
  const ended = at(5, 'entry=e2 batch=b1 results=9 event=batch_ended')
  const unrelated = [at(2, 'entry=e3 batch=b2 item=i2 event=item_run_ended'), at(6, 'entry=e2 event=leader_changed'), 'not a log line i1']

  it('selects the lines of an item from all processes, with its batch and the leader changes in between', () => {
    expect(traceLogLines([...unrelated, rerun, ended, lost, run, submitted], 'i1')).toEqual([submitted, run, lost, rerun, ended])
  })

  it('returns nothing for an id that no line contains', () => {
    expect(traceLogLines([submitted, run], 'i9')).toEqual([])
  })

  it('reads quoted values', () => {
    expect(parseLogLine(run).get('reason')).toEqual('reset: "gone"')
  })
})
