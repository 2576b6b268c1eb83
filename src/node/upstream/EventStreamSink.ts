import { err, ok, type Result } from 'neverthrow'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { UpstreamStream } from '../../common/upstream/client/UpstreamStream.js'
import type { IExchangeSink } from './IExchangeSink.js'
import { SseParser } from './SseParser.js'

/** Longest event of a stream, in characters. */
const MAX_EVENT_CHARS = 1_048_576
/** Events held for a slow reader before the connection is paused. */
const MAX_BUFFERED_EVENTS = 256
const END_MARKER = '[DONE]'

type Item = Result<string, UpstreamError>

/** Hands out the events of an SSE answer in order; the stream ends with an error unless it carried `[DONE]`. */
export class EventStreamSink implements IExchangeSink, AsyncIterator<Item>, AsyncIterable<Item> {
  private readonly _splitter = new SseParser(MAX_EVENT_CHARS)
  private readonly _items: Item[] = []
  private _isDone = false
  private _isOver = false
  private _isOpen = false
  private _wake?: () => void
  private _resume?: () => void

  constructor (
    private readonly _settle: (result: Result<UpstreamStream, UpstreamError>) => void,
    private readonly _close: () => void
  ) {}

  onHead (status: number, headers: Record<string, string>): UpstreamError | undefined {
    this._isOpen = true
    this._settle(ok({ status, headers, events: this }))
    return undefined
  }

  onData (chunk: Uint8Array, pause: () => void, resume: () => void): UpstreamError | undefined {
    const events = this._splitter.push(chunk)
    if (events === undefined) {
      return { kind: 'truncated', message: `event exceeds ${MAX_EVENT_CHARS} characters`, sent: true }
    }
    for (const event of events) {
      if (this._isDone) break
      this._items.push(ok(event))
      this._isDone = event === END_MARKER
    }
    if (this._items.length > MAX_BUFFERED_EVENTS) {
      this._resume = resume
      pause()
    }
    this._notify()
    return undefined
  }

  onEnd (): void {
    if (!this._isDone) {
      this._items.push(err({ kind: 'truncated', message: 'stream ended without its end marker', sent: true }))
    }
    this._end()
  }

  onError (error: UpstreamError): void {
    if (!this._isOpen) {
      this._settle(err(error))
    } else if (!this._isDone) {
      this._items.push(err(error))
    }
    this._end()
  }

  [Symbol.asyncIterator] (): this {
    return this
  }

  async next (): Promise<IteratorResult<Item, undefined>> {
    for (;;) {
      const value = this._items.shift()
      if (value !== undefined) {
        return { done: false, value }
      }
      if (this._isOver) {
        return { done: true, value: undefined }
      }
      this._resume?.()
      this._resume = undefined
      if (this._items.length === 0 && !this._isOver) {
        await new Promise<void>((resolve) => { this._wake = resolve })
      }
    }
  }

  /** The reader stops early: the connection is closed, which cancels the generation. */
  async return (): Promise<IteratorResult<Item, undefined>> {
    this._close()
    this._items.length = 0
    this._end()
    return { done: true, value: undefined }
  }

  private _end (): void {
    this._isOver = true
    this._notify()
  }

  private _notify (): void {
    this._wake?.()
    this._wake = undefined
  }
}
