import type { History } from './History.js'
import type { Violation } from './Violation.js'

/** Invariant 4: a response that arrived as whole is the one to its own request. */
export function checkResponses (history: History): Violation[] {
  return history.calls
    .filter(call => call.end === 'answered' && call.content !== call.expected)
    .map(call => ({ rule: '4 own response', subject: call.id, message: `expected ${call.expected}`, records: [call] }))
}
