import { groupBy } from './groupBy.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'

const RULE = '6 at most once'

/** Invariant 6: no request with an idempotency key runs twice, and none is answered that never ran. */
export function checkAtMostOnce (history: History): Violation[] {
  const runs = groupBy(history.runs.filter(run => run.key !== ''), run => run.key)
  const calls = groupBy(history.calls.filter(call => call.key !== undefined), call => call.key!)
  const repeatedRuns = [...runs].filter(([, list]) => list.length > 1).map(([key, list]) =>
    ({ rule: RULE, subject: key, message: `ran ${list.length} times`, records: [...list, ...calls.get(key) ?? []] }))
  const neverRun = [...calls].filter(([key, list]) => !runs.has(key) && list.some(call => call.end === 'answered')).map(([key, list]) =>
    ({ rule: RULE, subject: key, message: 'was answered but never ran', records: list }))
  return [...repeatedRuns, ...neverRun]
}
