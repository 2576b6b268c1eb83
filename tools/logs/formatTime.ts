import type { LogEvent } from './LogEvent.js'

const SIMULATED_TIME_WIDTH = 10

/** Formats the time of an event: seconds of the simulated day, or the logged time of day. */
export function formatTime ({ simulatedS, time }: LogEvent): string {
  return simulatedS === undefined ? time : simulatedS.toFixed(4).padStart(SIMULATED_TIME_WIDTH)
}
