import { parseLogLine } from '../../src/common/metrics/parseLogLine.js'
import type { LogEvent } from './LogEvent.js'

const SIMULATED_TIME_PATTERN = /^\s*(-?\d+(?:\.\d+)?)\s+\S+\s+\w+=/

/** Parses a logfmt line, with or without simulated time and machine in front. Other text gives undefined. */
export function parseLogEvent (line: string): LogEvent | undefined {
  const fields = parseLogLine(line)
  const name = fields.get('event')
  const time = fields.get('time')
  if (name === undefined || time === undefined) return undefined
  const wallMs = /^\d+$/.test(time) ? Number(time) : Date.parse(time)
  if (Number.isNaN(wallMs)) return undefined
  const simulated = SIMULATED_TIME_PATTERN.exec(line)?.[1]
  return { name, entry: fields.get('entry') ?? 'unknown', time, wallMs, simulatedS: simulated === undefined ? undefined : Number(simulated), fields }
}
