import type { Call } from './Call.js'
import type { History } from './History.js'
import type { PlannedStop } from './PlannedStop.js'
import { affectsCall } from './affectsCall.js'
import type { Violation } from './Violation.js'
import { tolerances } from './tolerances.js'

const RULE = '8 planned stop'

/**
 * Invariant 8: a graceful stop cuts no request unless another fault affected the request, and the process exits with code 0.
 * The signal may end a process that has just started, before its program can take it; such a process has no requests.
 */
export function checkPlannedStop (history: History): Violation[] {
  const cut = history.calls.filter(call => call.end === 'cut' && !isConnectionCloseRace(history, call) && !history.faults.some(fault => affectsCall(fault, call)))
  return [
    ...cut.map(call => {
      const stops = history.stops.filter(stop => overlaps(stop, call))
      const message = stops.length > 0 ? 'cut during a planned stop' : 'cut although no fault affected it'
      return { rule: RULE, subject: call.id, message, records: [call, ...stops] }
    }),
    ...history.stops.filter(stop => stop.exitCode !== 0 && stop.isBeforeReady !== true && !isKilled(history, stop))
      .map(stop => ({ rule: RULE, subject: stop.entry, message: `exit code ${stop.exitCode}`, records: [stop] }))
  ]
}

function overlaps (stop: PlannedStop, call: Call): boolean {
  const isOnPath = call.entry === stop.entry || call.entry === 'balancer'
  return isOnPath && stop.fromMs <= call.endedAtMs + tolerances.clockSkewMs && stop.exitedAtMs >= call.startedAtMs - tolerances.clockSkewMs
}

function isKilled (history: History, stop: PlannedStop): boolean {
  return history.faults.some(fault => fault.kind === 'entry_kill' && fault.target === stop.entry &&
    fault.fromMs <= stop.exitedAtMs && fault.toMs >= stop.fromMs)
}

/**
 * A request that is sent while the entry closes its idle persistent connection gets no response, and the caller may
 * retry it (RFC 9112, section 9.3.1). This is allowed only while the entry stops, because only a stopping entry closes
 * connections that clients still use; a response that has begun must be complete.
 */
function isConnectionCloseRace (history: History, call: Call): boolean {
  return call.isKept === true && call.status === 0 && history.stops.some(stop => overlaps(stop, call))
}
