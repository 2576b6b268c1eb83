import type { LogEvent } from './LogEvent.js'
import type { LogSubject } from './LogSubject.js'

/** Tells which events are about a batch, request or item. */
export class SubjectMatcher {
  private readonly _targetPattern: RegExp

  constructor (private readonly _subject: LogSubject) {
    const escapedId = _subject.id.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')
    this._targetPattern = new RegExp(`(?<![\\w-])${escapedId}(?![\\w-])`)
  }

  /** Whether the field of the subject has the id, or the target of a forwarded request contains it. */
  matches (event: LogEvent): boolean {
    return event.fields.get(this._subject.kind) === this._subject.id || this._targetPattern.test(event.fields.get('target') ?? '')
  }
}
