import type { History } from './History.js'
import { touchesCall } from './touchesCall.js'
import type { Violation } from './Violation.js'

/** Every call ends by its deadline plus the margin, and all work settles after the faults. */
export function checkEnds (history: History): Violation[] {
  const hung = history.calls.filter(call => call.end === 'hang' && !history.faults.some(fault => touchesCall(fault, call)))
  return [
    ...hung.map(call => ({ rule: 'ends', subject: call.id, message: 'no end by the deadline and the margin', records: [call] })),
    ...history.unsettled.map(what => ({ rule: 'ends', subject: what, message: 'not settled after all faults were healed', records: [] }))
  ]
}
