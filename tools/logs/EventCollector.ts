import { isLeaderEvent } from './isLeaderEvent.js'
import type { LogEvent } from './LogEvent.js'
import type { LogSubject } from './LogSubject.js'
import { parseLogEvent } from './parseLogEvent.js'
import { SubjectMatcher } from './SubjectMatcher.js'

// About 200 MB. A batch has a few hundred events.
const MAX_EVENTS = 200_000
/** Events that give the events of an item their context. */
const BATCH_EVENTS = new Set(['batch_submitted', 'batch_ended'])
// Text in every line that can be kept besides those with the id; spares parsing all others.
const CONTEXT_PATTERN = /event=(?:leader_changed|leadership_lost|batch(?:es)?_\w+)/

/** Collects the events about a subject, and those of leaders and batches, from the lines of any number of entries. */
export class EventCollector {
  readonly matches: LogEvent[] = []
  readonly leaderEvents: LogEvent[] = []
  readonly batchEvents: LogEvent[] = []
  private readonly _matcher: SubjectMatcher
  private _omittedCount = 0

  constructor (private readonly _subject: LogSubject, private readonly _maxEvents = MAX_EVENTS) {
    this._matcher = new SubjectMatcher(_subject)
  }

  /** Number of events that were left out because the limit on memory was reached. */
  get omittedCount (): number { return this._omittedCount }

  /** Takes a line in any order; lines that are not logfmt have no effect. */
  add (line: string): void {
    if (!line.includes(this._subject.id) && !CONTEXT_PATTERN.test(line)) return
    // A copy, because V8 would keep the whole chunk of the file that the line is a part of.
    const event = parseLogEvent(Buffer.from(line).toString())
    if (event === undefined) return
    const list = this._listFor(event)
    if (list === undefined) return
    if (this.matches.length + this.leaderEvents.length + this.batchEvents.length < this._maxEvents) list.push(event)
    else this._omittedCount++
  }

  private _listFor (event: LogEvent): LogEvent[] | undefined {
    if (this._matcher.matches(event)) return this.matches
    if (isLeaderEvent(event.name)) return this.leaderEvents
    return BATCH_EVENTS.has(event.name) ? this.batchEvents : undefined
  }
}
