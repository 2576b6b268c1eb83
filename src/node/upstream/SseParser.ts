const LINE_END = /\r\n?|\n/g

/** Incremental parser of an SSE body that yields the data of each event (WHATWG HTML, section 9.2). */
export class SseParser {
  private readonly _decoder = new TextDecoder()
  private _buffer = ''
  private _dataLines: string[] = []
  private _eventChars = 0

  constructor (private readonly _maxEventChars: number) {}

  /** Returns the data of the events completed by this chunk, or `undefined` when an event exceeds the limit. */
  push (chunk: Uint8Array): string[] | undefined {
    this._buffer += this._decoder.decode(chunk, { stream: true })
    const events: string[] = []
    let start = 0
    for (;;) {
      const end = this._findLineEnd(start)
      if (end === undefined) break
      this._parseLine(this._buffer.slice(start, end.index), events)
      start = end.nextIndex
    }
    this._buffer = this._buffer.slice(start)
    return this._eventChars + this._buffer.length > this._maxEventChars ? undefined : events
  }

  private _findLineEnd (start: number): { index: number, nextIndex: number } | undefined {
    LINE_END.lastIndex = start
    const match = LINE_END.exec(this._buffer)
    if (match === null) {
      return undefined
    }
    const nextIndex = match.index + match[0].length
    // A carriage return at the end of a chunk may be the first half of a CRLF; the next chunk decides.
    return match[0] === '\r' && nextIndex === this._buffer.length ? undefined : { index: match.index, nextIndex }
  }

  private _parseLine (line: string, events: string[]): void {
    if (line === '') {
      if (this._dataLines.length > 0) {
        events.push(this._dataLines.join('\n'))
      }
      this._dataLines = []
      this._eventChars = 0
    } else if (line === 'data' || line.startsWith('data:')) {
      const value = line.slice(5)
      this._dataLines.push(value.startsWith(' ') ? value.slice(1) : value)
      this._eventChars += line.length
    }
  }
}
