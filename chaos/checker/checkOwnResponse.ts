import type { History } from './History.js'
import type { Violation } from './Violation.js'

/** Invariant 4: a complete response belongs to the request that it was received for. */
export function checkOwnResponse (history: History): Violation[] {
  return history.calls
    .filter(call => call.end === 'answered' && call.content !== call.expected)
    .map(call => ({ rule: '4 own response', subject: call.id, message: `expected ${call.expected}`, records: [call] }))
}
