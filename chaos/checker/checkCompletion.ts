import type { History } from './History.js'
import { affectsCall } from './affectsCall.js'
import type { Violation } from './Violation.js'

/** Every call ends by its deadline plus the margin, and all work completes once the faults are removed. */
export function checkCompletion (history: History): Violation[] {
  const hanging = history.calls.filter(call => call.end === 'hang' && !history.faults.some(fault => affectsCall(fault, call)))
  return [
    ...hanging.map(call => ({ rule: 'ends', subject: call.id, message: 'no response by the deadline plus the margin', records: [call] })),
    ...history.unsettled.map(description => ({ rule: 'ends', subject: description, message: 'not completed after all faults were removed', records: [] }))
  ]
}
