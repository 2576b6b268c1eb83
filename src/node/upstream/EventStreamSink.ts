import { err, ok, type Result } from 'neverthrow'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { UpstreamStream } from '../../common/upstream/client/UpstreamStream.js'
import type { IExchangeSink } from './IExchangeSink.js'
import { SseParser } from './SseParser.js'

/** Longest accepted event of a stream, in characters. */
const MAX_EVENT_CHARS = 1_048_576
/** Number of events buffered for a slow reader before reading from the connection is paused. */
const MAX_BUFFERED_EVENTS = 256
const END_MARKER = '[DONE]'

type Item = Result<string, UpstreamError>

/** Yields the events of an SSE response in order. A stream that ends without `[DONE]` yields an error as its last item. */
export class EventStreamSink implements IExchangeSink, AsyncIterator<Item>, AsyncIterable<Item> {
  private readonly _parser = new SseParser(MAX_EVENT_CHARS)
  private readonly _items: Item[] = []
  private _sawEndMarker = false
  private _isEnded = false
  private _hasHead = false
  private _wakeReader?: () => void
  private _resume?: () => void

  constructor (
    private readonly _settle: (result: Result<UpstreamStream, UpstreamError>) => void,
    private readonly _close: () => void
  ) {}

  onHead (status: number, headers: Record<string, string>): UpstreamError | undefined {
    this._hasHead = true
    this._settle(ok({ status, headers, events: this }))
    return undefined
  }

  onData (chunk: Uint8Array, pause: () => void, resume: () => void): UpstreamError | undefined {
    const events = this._parser.push(chunk)
    if (events === undefined) {
      return { kind: 'truncated', message: `event exceeds ${MAX_EVENT_CHARS} characters`, sent: true }
    }
    for (const event of events) {
      if (this._sawEndMarker) break
      this._items.push(ok(event))
      this._sawEndMarker = event === END_MARKER
    }
    if (this._items.length > MAX_BUFFERED_EVENTS) {
      this._resume = resume
      pause()
    }
    this._notifyReader()
    return undefined
  }

  onEnd (): void {
    if (!this._sawEndMarker) {
      this._items.push(err({ kind: 'truncated', message: 'stream ended without the [DONE] marker', sent: true }))
    }
    this._end()
  }

  onError (error: UpstreamError): void {
    if (!this._hasHead) {
      this._settle(err(error))
    } else if (!this._sawEndMarker) {
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
      if (this._isEnded) {
        return { done: true, value: undefined }
      }
      this._resume?.()
      this._resume = undefined
      if (this._items.length === 0 && !this._isEnded) {
        await new Promise<void>((resolve) => { this._wakeReader = resolve })
      }
    }
  }

  /** Called when the reader stops early. Closes the connection, which cancels the generation. */
  async return (): Promise<IteratorResult<Item, undefined>> {
    this._close()
    this._items.length = 0
    this._end()
    return { done: true, value: undefined }
  }

  private _end (): void {
    this._isEnded = true
    this._notifyReader()
  }

  private _notifyReader (): void {
    this._wakeReader?.()
    this._wakeReader = undefined
  }
}
