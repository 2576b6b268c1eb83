import type { Call } from './Call.js'
import type { History } from './History.js'
import type { PlannedStop } from './PlannedStop.js'
import { touchesCall } from './touchesCall.js'
import type { Violation } from './Violation.js'
import { windows } from './windows.js'

const RULE = '8 planned stop'

/** Invariant 8: a stop cuts no request that no other fault touched, and the process ends with code 0. */
export function checkPlannedStop (history: History): Violation[] {
  const cut = history.calls.filter(call => call.end === 'cut' && !history.faults.some(fault => touchesCall(fault, call)))
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
