import { isLeaderEvent } from './isLeaderEvent.js'
import type { LogEvent } from './LogEvent.js'
import type { LogSubject } from './LogSubject.js'
import { parseLogEvent } from './parseLogEvent.js'
import { SubjectMatcher } from './SubjectMatcher.js'

// Bounds the memory. A batch has a few hundred events, and leader changes of a long log some thousands.
const MAX_EVENTS = 100_000
/** Events that give the events of an item their context. */
const BATCH_EVENTS = new Set(['batch_submitted', 'batch_ended'])
// Text in every line that can be kept besides those with the id; spares parsing all others.
const CONTEXT_PATTERN = /event=(?:leader_changed|leadership_lost|batch(?:es)?_\w+)/

/** Collects the events about a subject, and those of leaders and batches, from the lines of any number of entries. */
export class EventCollector {
  /** In the order in which they were read. */
  readonly events: LogEvent[] = []
  private readonly _matches = new Set<LogEvent>()
  private readonly _matcher: SubjectMatcher
  private _omittedCount = 0

  constructor (private readonly _subject: LogSubject, private readonly _maxEvents = MAX_EVENTS) {
    this._matcher = new SubjectMatcher(_subject)
  }

  /** Events about the subject itself. */
  get matches (): ReadonlySet<LogEvent> { return this._matches }

  /** Number of events that were left out because the limit on memory was reached. */
  get omittedCount (): number { return this._omittedCount }

  /** Takes a line in any order; lines that are not logfmt have no effect. */
  add (line: string): void {
    if (!line.includes(this._subject.id) && !CONTEXT_PATTERN.test(line)) return
    // A copy, because V8 would keep the whole chunk of the file that the line is a part of.
    const event = parseLogEvent(Buffer.from(line).toString())
    if (event === undefined) return
    const isMatch = this._matcher.matches(event)
    if (!isMatch && !isLeaderEvent(event.name) && !BATCH_EVENTS.has(event.name)) return
    if (this.events.length >= this._maxEvents) {
      this._omittedCount++
      return
    }
    this.events.push(event)
    if (isMatch) this._matches.add(event)
  }
}
