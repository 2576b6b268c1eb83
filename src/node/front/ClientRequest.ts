import type { IncomingMessage, ServerResponse } from 'node:http'
import { ByteAccumulator } from '../../common/kernel/ByteAccumulator.js'
import type { IDisposable } from '../../common/kernel/IDisposable.js'
import { releaseBytes } from '../../common/kernel/releaseBytes.js'
import type { CallerLimits } from '../../common/routing/CallerLimits.js'
import type { ChunkPacer } from './ChunkPacer.js'
import type { ClientBudget } from './ClientBudget.js'
import { createOverloadResponse } from './createOverloadResponse.js'
import type { IBudgetHolder } from './IBudgetHolder.js'
import type { ListenerName } from './ListenerName.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { RejectionReason } from './RejectionReason.js'

/** Objects of a request in the process, without its header section and body. */
const REQUEST_BYTES = 4000
/** A complete header section is in memory as received, as text, and as forwarded. */
const HEADER_COPIES = 3
/** After the idle timeout, a body needs this average rate. The slowest link in use is a thousand times faster. */
const MIN_BYTES_PER_MS = 1
/**
 * A response may make no progress for this many idle timeouts. The system buffers megabytes and reports progress only for
 * hundreds of kilobytes, so a slow reader seems to pause.
 */
const RESPONSE_IDLE_TIMEOUTS = 4
/** Larger responses are written in parts of this size, to see how fast the client reads. */
const WRITE_PART_BYTES = 65_536
/** A body whose chunks are smaller than this on average, over so many chunks, is read in turn with others. */
const TINY_CHUNK_BYTES = 64
const TINY_CHUNK_COUNT = 2000
/** Header lines have a separator and an end of two bytes each; the receiver keeps the texts only. */
const SEPARATOR_BYTES = 2

/** One request from its header section to the end of its response, with what it holds in memory. */
export class ClientRequest implements IBudgetHolder {
  lastProgressMs = performance.now()
  private readonly _startedAtMs = performance.now()
  private readonly _disconnected = new AbortController()
  /** A request that has been read waits until those before it on its connection have been responded to. */
  private _phase: 'reading' | 'waiting' | 'running' | 'writing' | 'ended' = 'reading'
  /** All requests before this one on its connection have been responded to. */
  private _isFirst = false
  private _receivedBytes = 0
  /** Since the last turn of a body in tiny chunks. */
  private _turnChunks = 0
  private _turnBytes = 0
  /** The place among the bodies that wait for a turn, while this one waits. */
  private _place: IDisposable | undefined
  private _response: Uint8Array | undefined
  private _unwritten: Uint8Array | undefined
  private _endReading?: (result: ListenerResponse | 'aborted') => void
  private _stopWaiting?: () => void

  constructor (
    readonly listener: ListenerName,
    readonly incoming: IncomingMessage,
    readonly outgoing: ServerResponse,
    private readonly _budget: ClientBudget,
    private readonly _pacer: ChunkPacer,
    private readonly _onRejected: (reason: RejectionReason) => void,
    private readonly _onEnded: (request: ClientRequest) => void
  ) {
    outgoing.once('close', () => this.end())
  }

  /** Size of the header section as the limit counts it. */
  get headerBytes (): number {
    return this.incoming.rawHeaders.reduce((sum, part) => sum + part.length + SEPARATOR_BYTES, (this.incoming.url ?? '').length)
  }

  /** Whether the request may have run. */
  get mayHaveRun (): boolean {
    return this._phase === 'running' || this._phase === 'writing'
  }

  get isEnded (): boolean {
    return this._phase === 'ended'
  }

  /** Whether its response is the last one on its connection. */
  get isLast (): boolean {
    return !this.outgoing.shouldKeepAlive
  }

  get isSheddable (): boolean {
    return this._phase !== 'running' && this._phase !== 'ended'
  }

  /** Aborted when the client disconnects. */
  get signal (): AbortSignal {
    return this._disconnected.signal
  }

  /** Counts the request itself; returns a response, or `aborted`, if there is no room for it. */
  admit (): ListenerResponse | 'aborted' | undefined {
    if (this._budget.add(this, REQUEST_BYTES + HEADER_COPIES * this.headerBytes)) return undefined
    this._onRejected('memory')
    if (this._isFirst) return createOverloadResponse({ connection: 'close' })
    // Its response would have to wait, and nothing counts the request meanwhile.
    this.incoming.socket.destroy()
    return 'aborted'
  }

  /** Reads the body. Resolves with a response if the request is rejected, or with `aborted` if it has been ended. */
  async readBody (maxBodyBytes: number): Promise<Uint8Array | ListenerResponse | 'aborted'> {
    const body = new ByteAccumulator(maxBodyBytes)
    return await new Promise(resolve => {
      const end = (result: Uint8Array | ListenerResponse | 'aborted'): void => {
        if (this._endReading === undefined) return
        this._endReading = undefined
        this._endWait()
        this.incoming.off('data', onData)
        if (!(result instanceof Uint8Array)) body.release()
        resolve(result)
      }
      const onData = (chunk: Uint8Array): void => {
        this.lastProgressMs = performance.now()
        this._receivedBytes += chunk.length
        if (this._receivedBytes > maxBodyBytes) {
          this._onRejected('body_bytes')
          return end({ status: 413, headers: { connection: 'close' } })
        }
        const heldBytes = body.capacityBytes
        body.append(chunk)
        const addedBytes = body.capacityBytes - heldBytes
        if (addedBytes > 0 && !this._budget.add(this, addedBytes)) this.shed()
        this._pace(chunk.length)
      }
      this._endReading = end
      this.incoming.on('data', onData)
      this.incoming.once('end', () => end(body.take()))
      this.incoming.once('error', () => end('aborted'))
      this.incoming.once('close', () => end('aborted'))
    })
  }

  /** Resolves when this is the first request of its connection, or with false if it has been ended before that. */
  async waitUntilFirst (): Promise<boolean> {
    if (this._phase !== 'reading') return false
    this._phase = 'waiting'
    if (!this._isFirst) await new Promise<void>(resolve => { this._stopWaiting = resolve })
    return this._isFirst && this._phase === 'waiting'
  }

  /** Called when all requests before this one on its connection have been responded to. */
  becomeFirst (): void {
    this._isFirst = true
    this._stopWaiting?.()
  }

  /** From now on the request may run. */
  startRunning (): void {
    this._phase = 'running'
  }

  /** Stops a request that has not run, and never will: ends reading its body or waiting for the requests before it. */
  abort (): void {
    this._endReading?.('aborted')
    this._stopWaiting?.()
  }

  /** Frees what the request holds, at the end of its response or connection. A body in use is counted until its handler ends. */
  end (): void {
    if (this._phase === 'ended') return
    const isRunning = this._phase === 'running'
    this._phase = 'ended'
    if (!this.outgoing.writableFinished) this._disconnected.abort()
    this.abort()
    if (this._response !== undefined) releaseBytes(this._response)
    this._response = this._unwritten = undefined
    if (!isRunning) this._budget.release(this)
    this._onEnded(this)
  }

  /**
   * The handler has ended, and has passed its whole response to the runtime itself. The body of the request has been
   * released.
   */
  finishRunning (): void {
    if (this._phase === 'ended') {
      this._budget.release(this)
      return
    }
    this._phase = 'writing'
    this.lastProgressMs = performance.now()
    this._budget.reduceTo(this, REQUEST_BYTES)
    this._budget.addUnconditionally(this, this.outgoing.writableLength)
  }

  /** The body of the request has been released. */
  releaseBody (): void {
    this._budget.reduceTo(this, REQUEST_BYTES)
  }

  /** Writes the head and the body of the response, as fast as the client reads. */
  write (status: number, headers: Record<string, string>, body: Uint8Array | undefined): void {
    this._phase = 'writing'
    if (headers['connection'] === 'close') this.outgoing.shouldKeepAlive = false
    this._response = body
    this.lastProgressMs = performance.now()
    this._budget.addUnconditionally(this, body?.length ?? 0)
    this.outgoing.writeHead(status, headers)
    if (body === undefined || body.length <= WRITE_PART_BYTES) {
      this.outgoing.end(body)
      return
    }
    this._unwritten = body
    this.outgoing.on('drain', () => this._writeParts())
    this._writeParts()
  }

  shed (): void {
    if (this.isSheddable) this._reject('memory', createOverloadResponse({ connection: 'close' }))
  }

  /** Ends the request if its client makes too little progress. */
  checkProgress (nowMs: number, { idleTimeoutMs }: CallerLimits): void {
    if (this._phase === 'writing' && nowMs > this.lastProgressMs + RESPONSE_IDLE_TIMEOUTS * idleTimeoutMs) this._reject('response_timeout')
    if (this._phase !== 'reading') return
    const isTooSlow = nowMs > this._startedAtMs + idleTimeoutMs + this._receivedBytes / MIN_BYTES_PER_MS
    if (isTooSlow || (this._place === undefined && nowMs > this.lastProgressMs + idleTimeoutMs)) this._reject('body_timeout', { status: 408, headers: { connection: 'close' } })
  }

  private _pace (chunkBytes: number): void {
    this._turnChunks += 1
    this._turnBytes += chunkBytes
    if (this._turnChunks < TINY_CHUNK_COUNT || this._place !== undefined) return
    const isTiny = this._turnBytes < TINY_CHUNK_BYTES * this._turnChunks
    this._turnChunks = this._turnBytes = 0
    if (!isTiny || this._endReading === undefined) return
    this._place = this._pacer.wait(() => this._endWait())
    if (this._place === undefined) {
      this._reject('tiny_chunks', createOverloadResponse({ connection: 'close' }))
      return
    }
    // Without the first pause, the system would pass on up to 2 MB at once. The body resumes its socket after the chunks
    // that have been received, hence the second pause.
    this.incoming.socket.pause()
    setImmediate(() => {
      if (this._place !== undefined) this.incoming.socket.pause()
    })
  }

  private _endWait (): void {
    if (this._place === undefined) return
    this._place.dispose()
    this._place = undefined
    this.lastProgressMs = performance.now()
    this.incoming.socket.resume()
  }

  /** Closes the connection if the response has begun, or if it would have to wait for others. */
  private _reject (reason: RejectionReason, response?: ListenerResponse): void {
    const isReading = this._phase === 'reading'
    if (this._phase === 'ended' || (isReading && this._endReading === undefined)) return
    this._onRejected(reason)
    if (isReading && this._isFirst && response !== undefined) {
      this._endReading?.(response)
    } else {
      this.abort()
      this.incoming.socket.destroy()
    }
  }

  private _writeParts (): void {
    this.lastProgressMs = performance.now()
    while (this._unwritten !== undefined && !this.outgoing.destroyed) {
      const part = this._unwritten.subarray(0, WRITE_PART_BYTES)
      if (part.length === this._unwritten.length) {
        this._unwritten = undefined
        this.outgoing.end(part)
        return
      }
      this._unwritten = this._unwritten.subarray(WRITE_PART_BYTES)
      if (!this.outgoing.write(part)) return
    }
  }
}
