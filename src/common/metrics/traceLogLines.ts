import { parseLogLine } from './parseLogLine.js'

/** Events that mark the start and the end of a batch. */
const BATCH_EVENTS = ['batch_submitted', 'batch_ended']
/** Events that change which entry runs batch items. */
const LEADER_EVENTS = ['leader_changed', 'leadership_lost', 'progress_passed_on', 'progress_adopted']

interface ParsedLine { line: string, fields: Map<string, string>, time: string }

/**
 * Selects the log lines of any number of processes that concern one request, batch or item, sorted by time: lines
 * with the id in a field, the start and end of its batches, and leader changes between the first and the last of them.
 */
export function traceLogLines (lines: Iterable<string>, id: string): string[] {
  const parsed: ParsedLine[] = []
  for (const line of lines) {
    const fields = parseLogLine(line)
    if (fields.has('event')) parsed.push({ line, fields, time: fields.get('time') ?? '' })
  }
  const matches = new Set(parsed.filter(({ fields }) => [...fields.values()].some(value => value.includes(id))))
  if (matches.size === 0) return []
  const batches = new Set([...matches].flatMap(({ fields }) => fields.get('batch') ?? []))
  const times = [...matches].map(({ time }) => time).sort()
  const isWithin = (time: string): boolean => time >= (times[0] ?? '') && time <= (times.at(-1) ?? '')
  const isRelated = ({ fields, time }: ParsedLine): boolean => {
    const event = fields.get('event') ?? ''
    return (BATCH_EVENTS.includes(event) && batches.has(fields.get('batch') ?? '')) || (LEADER_EVENTS.includes(event) && isWithin(time))
  }
  return parsed.filter(candidate => matches.has(candidate) || isRelated(candidate))
    .sort((a, b) => a.time.localeCompare(b.time))
    .map(({ line }) => line)
}
