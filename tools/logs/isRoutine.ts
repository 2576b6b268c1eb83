import type { LogEvent } from './LogEvent.js'

/** Events that a batch in normal operation writes many times. */
const ROUTINE_EVENTS = new Set(['batch_step_status', 'item_moved', 'item_progress_reused'])

/** Whether an event is left out of the life of a batch: progress, moves and runs that completed. */
export function isRoutine (event: LogEvent): boolean {
  return ROUTINE_EVENTS.has(event.name) || (event.name === 'item_run_ended' && event.fields.get('outcome') === 'complete')
}
