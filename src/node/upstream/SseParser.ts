const LINE_END = /\r\n?|\n/g

/** Splits the text of an SSE body into the data of its events (WHATWG HTML, section 9.2). */
export class SseParser {
  private readonly _decoder = new TextDecoder()
  private _text = ''
  private _data: string[] = []
  private _size = 0

  constructor (private readonly _maxEventChars: number) {}

  /** Returns the events that this chunk completes, or `undefined` when an event exceeds the limit. */
  push (chunk: Uint8Array): string[] | undefined {
    this._text += this._decoder.decode(chunk, { stream: true })
    const events: string[] = []
    let start = 0
    for (;;) {
      const end = this._lineEnd(start)
      if (end === undefined) break
      this._onLine(this._text.slice(start, end.at), events)
      start = end.next
    }
    this._text = this._text.slice(start)
    return this._size + this._text.length > this._maxEventChars ? undefined : events
  }

  private _lineEnd (start: number): { at: number, next: number } | undefined {
    LINE_END.lastIndex = start
    const match = LINE_END.exec(this._text)
    if (match === null) {
      return undefined
    }
    const next = match.index + match[0].length
    // After a carriage return at the end of a packet, a line feed of the same line end may follow.
    return match[0] === '\r' && next === this._text.length ? undefined : { at: match.index, next }
  }

  private _onLine (line: string, events: string[]): void {
    if (line === '') {
      if (this._data.length > 0) {
        events.push(this._data.join('\n'))
      }
      this._data = []
      this._size = 0
    } else if (line === 'data' || line.startsWith('data:')) {
      const value = line.slice(5)
      this._data.push(value.startsWith(' ') ? value.slice(1) : value)
      this._size += line.length
    }
  }
}
