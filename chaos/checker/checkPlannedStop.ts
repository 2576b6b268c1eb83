import type { Call } from './Call.js'
import type { History } from './History.js'
import type { PlannedStop } from './PlannedStop.js'
import { touchesCall } from './touchesCall.js'
import type { Violation } from './Violation.js'
import { windows } from './windows.js'

const RULE = '8 planned stop'

/** Invariant 8: a stop cuts no request that no other fault touched, and the process ends with code 0. */
export function checkPlannedStop (history: History): Violation[] {
  const cut = history.calls.filter(call => call.end === 'cut' && !isLostAtClose(history, call) && !history.faults.some(fault => touchesCall(fault, call)))
  return [
    ...cut.map(call => {
      const stops = history.stops.filter(stop => overlaps(stop, call))
      const message = stops.length > 0 ? 'cut during a planned stop' : 'cut without any fault on its path'
      return { rule: RULE, subject: call.id, message, records: [call, ...stops] }
    }),
    ...history.stops.filter(stop => stop.exitCode !== 0 && !isKilled(history, stop))
      .map(stop => ({ rule: RULE, subject: stop.entry, message: `exit code ${stop.exitCode}`, records: [stop] }))
  ]
}

function overlaps (stop: PlannedStop, call: Call): boolean {
  const isOnPath = call.entry === stop.entry || call.entry === 'balancer'
  return isOnPath && stop.fromMs <= call.endedAtMs + windows.clockMs && stop.exitedAtMs >= call.startedAtMs - windows.clockMs
}

function isKilled (history: History, stop: PlannedStop): boolean {
  return history.faults.some(fault => fault.kind === 'entry_kill' && fault.target === stop.entry &&
    fault.fromMs <= stop.exitedAtMs && fault.toMs >= stop.fromMs)
}

/**
 * A request that meets the close of an idle kept connection gets no answer, and its caller may repeat it
 * (RFC 9112, 9.3.1). Only a stopping entry closes connections in use; an answer that began must be whole.
 */
function isLostAtClose (history: History, call: Call): boolean {
  return call.isKept === true && call.status === 0 && history.stops.some(stop => overlaps(stop, call))
}
