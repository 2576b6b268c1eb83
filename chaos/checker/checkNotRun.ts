import { groupBy } from './groupBy.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'

/** Invariant 5: no ledger shows a run of a request that was refused as `not_run`. */
export function checkNotRun (history: History): Violation[] {
  const started = groupBy(history.runs.filter(run => run.hasStarted), run => run.requestId.split('.')[0]!)
  return history.calls.filter(call => call.outcome === 'not_run').flatMap(call => {
    const runs = started.get(call.id) ?? []
    return runs.length === 0 ? [] : [{ rule: '5 not_run', subject: call.id, message: 'refused as not_run but ran', records: [call, ...runs] }]
  })
}
