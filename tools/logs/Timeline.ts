import type { EventCollector } from './EventCollector.js'
import { FailedReads } from './FailedReads.js'
import { formatFields } from './formatFields.js'
import { formatTime } from './formatTime.js'
import { isFailedRead } from './isFailedRead.js'
import { isLeaderEvent } from './isLeaderEvent.js'
import { isRoutine } from './isRoutine.js'
import { LeaderHistory } from './LeaderHistory.js'
import type { LogEvent } from './LogEvent.js'
import type { LogSubject } from './LogSubject.js'
import { sortByTime } from './sortByTime.js'

/** Fields that every line has, and that are shown in front or not at all. */
const COMMON_FIELDS = new Set(['level', 'time', 'entry', 'event', 'severity'])

/** The life of a batch, request or item, in order of time. */
export class Timeline {
  private readonly _leaders = new LeaderHistory()
  private readonly _failedReads = new FailedReads()
  private readonly _lines: string[] = []
  private readonly _summary = new Map<string, string | number>()

  constructor (private readonly _subject: LogSubject, private readonly _collector: EventCollector) {
    this._summary.set(_subject.kind, _subject.id)
    const batches = new Set(Array.from(_collector.matches, ({ fields }) => fields.get('batch')))
    const isRelated = (event: LogEvent): boolean => _collector.matches.has(event) || isLeaderEvent(event.name) || batches.has(event.fields.get('batch'))
    const events = sortByTime(_collector.events.filter(isRelated))
    const isSubjectEvent = (event: LogEvent): boolean => !isLeaderEvent(event.name)
    const [first, last] = [events.findIndex(isSubjectEvent), events.findLastIndex(isSubjectEvent)]
    events.forEach((event, index) => this._add(event, index >= first && index <= last))
    this._completeSummary()
  }

  /** Lines of the events and of the summary. */
  format (): string[] {
    return [...this._lines, `summary ${formatFields(this._summary)}`, ...this._failedReads.format()]
  }

  private _add (event: LogEvent, isWithin: boolean): void {
    if (isLeaderEvent(event.name)) this._leaders.add(event)
    else this._addToSummary(event)
    const isShown = this._subject.kind !== 'batch' || !isRoutine(event)
    if (isWithin && isShown) this._lines.push(this._formatEvent(event))
  }

  private _addToSummary (event: LogEvent): void {
    const { name, entry, fields } = event
    const time = formatTime(event).trim()
    if (name === 'batch_submitted' && fields.get('outcome') === 'accepted' && !this._summary.has('accepted_at')) {
      this._summary.set('accepted_at', time).set('accepted_by', entry).set('accepted_epoch', this._leaders.heldEpoch(entry) ?? 'unknown')
    }
    if (name === 'batch_ended') this._summary.set('ended_at', time).set('results', `${fields.get('results') ?? '?'}/${fields.get('items') ?? '?'}`)
    if (isFailedRead(name) && this._collector.matches.has(event)) this._failedReads.add(event)
  }

  private _completeSummary (): void {
    if (this._subject.kind === 'batch') {
      for (const key of ['accepted_at', 'ended_at', 'results']) if (!this._summary.has(key)) this._summary.set(key, 'none')
    }
    this._summary.set('failed_reads', this._failedReads.total)
    const leader = this._leaders.latest()
    if (leader === undefined) this._summary.set('last_leader', 'unknown')
    else this._summary.set('last_leader', leader.holder ?? leader.address).set('last_leader_address', leader.address).set('last_epoch', leader.epoch)
    const { omittedCount } = this._collector
    if (omittedCount > 0) this._summary.set('events_left_out', omittedCount)
  }

  private _formatEvent (event: LogEvent): string {
    const fields = [...event.fields].filter(([key, value]) => !COMMON_FIELDS.has(key) && !(key === this._subject.kind && value === this._subject.id))
    const epoch = event.name === 'batch_submitted' ? this._leaders.heldEpoch(event.entry) : undefined
    const shown = epoch === undefined ? fields : [...fields, ['epoch', String(epoch)] as const]
    return `${formatTime(event)} ${event.entry} ${event.name} ${formatFields(shown)}`.trimEnd()
  }
}
