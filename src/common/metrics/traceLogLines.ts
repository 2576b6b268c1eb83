import { parseLogLine } from './parseLogLine.js'

/** Events of a batch that frame what happened to its items. */
const BATCH_EVENTS = ['batch_submitted', 'batch_ended']
/** Events that change which entry runs items. */
const LEADER_EVENTS = ['leader_changed', 'leadership_lost', 'progress_passed_on', 'progress_adopted']

interface ParsedLine { line: string, fields: Map<string, string>, time: string }

/**
 * The lines of many processes that tell the story of one request, batch or item, in order of their time: those
 * that name its id, the begin and end of its batches, and changes of the leader in between.
 */
export function traceLogLines (lines: Iterable<string>, id: string): string[] {
  const parsed: ParsedLine[] = []
  for (const line of lines) {
    const fields = parseLogLine(line)
    if (fields.has('event')) parsed.push({ line, fields, time: fields.get('time') ?? '' })
  }
  const named = new Set(parsed.filter(({ fields }) => [...fields.values()].some(value => value.includes(id))))
  if (named.size === 0) return []
  const batches = new Set([...named].flatMap(({ fields }) => fields.get('batch') ?? []))
  const times = [...named].map(({ time }) => time).sort()
  const isWithin = (time: string): boolean => time >= (times[0] ?? '') && time <= (times.at(-1) ?? '')
  const isRelated = ({ fields, time }: ParsedLine): boolean => {
    const event = fields.get('event') ?? ''
    return (BATCH_EVENTS.includes(event) && batches.has(fields.get('batch') ?? '')) || (LEADER_EVENTS.includes(event) && isWithin(time))
  }
  return parsed.filter(entry => named.has(entry) || isRelated(entry))
    .sort((a, b) => a.time.localeCompare(b.time))
    .map(({ line }) => line)
}
