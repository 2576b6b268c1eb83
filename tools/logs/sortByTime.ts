import type { LogEvent } from './LogEvent.js'

/**
 * Sorts by simulated time if all events have one, otherwise by the logged time of day. Events of the same time keep
 * the order in which they were read.
 */
export function sortByTime (events: readonly LogEvent[]): LogEvent[] {
  const isSimulated = events.every(({ simulatedS }) => simulatedS !== undefined)
  return events.toSorted((a, b) => isSimulated ? a.simulatedS! - b.simulatedS! : a.wallMs - b.wallMs)
}
