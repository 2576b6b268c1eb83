import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ISlot } from '../admission/ISlot.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { UpstreamRequest } from '../upstream/client/UpstreamRequest.js'
import type { AttemptEnd } from './AttemptEnd.js'
import type { EngineChunk } from './EngineChunk.js'
import type { GenerationChunk } from './GenerationChunk.js'
import type { GenerationError } from './GenerationError.js'
import type { GenerationRequest } from './GenerationRequest.js'
import { parseEngineChunk } from './parseEngineChunk.js'
import { withTimeout } from './withTimeout.js'
import type { SlowStreamDetector } from './SlowStreamDetector.js'
import { stallTimeoutMs } from './stallTimeoutMs.js'

type ChunkResult = Result<GenerationChunk, GenerationError>
type EventIterator = AsyncIterator<Result<string, UpstreamError>>

/** An attempt of a generation on one engine. It continues after `_tokens` and appends to them. */
export class GenerationAttempt {
  /** False only if it is certain that the engine did not receive the request. */
  wasSent = false
  private readonly _controller = new AbortController()
  private readonly _startedAtMs = performance.now()
  private readonly _firstTokenIndex: number
  private _chunkCount = 0
  private _firstChunkAtMs = 0

  constructor (
    private readonly _request: GenerationRequest,
    private readonly _slot: ISlot,
    private readonly _client: IUpstreamClient,
    private readonly _table: IUpstreamTable,
    private readonly _tokens: number[],
    private readonly _requestId: string,
    private readonly _hasAlternative: () => boolean,
    private readonly _slowDetector: SlowStreamDetector
  ) {
    this._firstTokenIndex = _tokens.length
  }

  /** Yields the chunks of the generation; always releases the slot. */
  async * run (): AsyncGenerator<ChunkResult, AttemptEnd> {
    let end: AttemptEnd = { kind: 'cancelled', message: 'the consumer stopped reading', result: { kind: 'cancelled' } }
    try {
      end = yield * this._openAndRead()
      return end
    } finally {
      this._controller.abort()
      // Reported before the release, so that the request still counts as in flight on the engine.
      if (end.isConnectionLost === true) {
        this._table.reportFailure(this._slot.upstream.id)
      }
      this._slot.release(end.result)
    }
  }

  private async * _openAndRead (): AsyncGenerator<ChunkResult, AttemptEnd> {
    const opened = await withTimeout(this._open(), this._chunkTimeoutMs(), this._request.signal)
    if (typeof opened === 'string') {
      this.wasSent = true
      return this._interruptedEnd(opened)
    }
    if (opened.isErr()) {
      this.wasSent = opened.error.sent
      return this._failureEnd(opened.error)
    }
    this.wasSent = true
    if (opened.value.status !== 200) return this._rejectionEnd(opened.value.status)
    return yield * this._readEvents(opened.value.events[Symbol.asyncIterator]())
  }

  private async * _readEvents (events: EventIterator): AsyncGenerator<ChunkResult, AttemptEnd> {
    let finalChunk: GenerationChunk | undefined
    for (;;) {
      const next = await withTimeout(events.next(), this._chunkTimeoutMs(), this._request.signal)
      if (typeof next === 'string') return this._interruptedEnd(next)
      if (next.done === true) return this._brokenEnd('the stream ended without the [DONE] marker')
      if (next.value.isErr()) return this._failureEnd(next.value.error)
      if (next.value.value === '[DONE]') {
        yield this._accept(finalChunk ?? { text: '', tokenIds: [], finishReason: 'stop' })
        return this._completedEnd()
      }
      const parsed = parseEngineChunk(next.value.value)
      if (parsed === undefined) return this._brokenEnd('the stream carries an invalid chunk')
      const chunk = this._toChunk(parsed)
      if (chunk === undefined || finalChunk !== undefined) continue
      if (this._lacksOrigin(chunk)) {
        // Not `completed`: the short duration would make the engine look fast and attract more samples.
        return { kind: 'origin_unknown', message: 'a chunk carries no weight version', result: { kind: 'cancelled' } }
      }
      if (chunk.tokenIds.length > 0 && this._tokens.length >= this._request.maxTokens) {
        yield this._accept({ text: '', tokenIds: [], finishReason: 'length' })
        return this._completedEnd()
      }
      // The final chunk is held back until the end marker arrives; if the stream breaks before, it is generated again.
      if (chunk.finishReason !== undefined) finalChunk = chunk
      else {
        yield this._accept(chunk)
        if (this._shouldMove(chunk)) return this._movedEnd()
      }
    }
  }

  private _open (): ReturnType<IUpstreamClient['stream']> {
    const { parameters, model, prompt, maxTokens, deadlineAtMs } = this._request
    // `undefined` also removes a `resume` field that the caller supplied.
    const resume = this._tokens.length > 0 ? { token_ids: this._tokens } : undefined
    const body = { ...parameters, model, prompt, max_tokens: maxTokens, stream: true, resume }
    const request: UpstreamRequest = {
      requestId: this._requestId,
      method: 'POST',
      path: '/v1/completions',
      headers: { 'content-type': 'application/json', accept: 'text/event-stream' },
      body: new TextEncoder().encode(JSON.stringify(body)),
      deadlineAtMs
    }
    return this._client.stream(this._slot.upstream.address, request, this._controller.signal)
  }

  private _toChunk (parsed: EngineChunk): GenerationChunk | undefined {
    const choice = parsed.choices[0]
    if (choice === undefined) return undefined
    this._chunkCount++
    if (this._chunkCount === 1) this._firstChunkAtMs = performance.now()
    const from = this._tokens.length
    const to = from + choice.token_ids.length
    const origin = parsed.weights != null && to > from
      ? { from, to, version: parsed.weights.version, kv_version: parsed.weights.kv_version }
      : undefined
    return { text: choice.text, tokenIds: choice.token_ids, origin, finishReason: choice.finish_reason ?? undefined }
  }

  /** Adds the tokens of a chunk to the generation. */
  private _accept (chunk: GenerationChunk): ChunkResult {
    this._tokens.push(...chunk.tokenIds)
    return ok(chunk)
  }

  /** Time to wait for the next chunk. Without another engine to move to, the time until the deadline. */
  private _chunkTimeoutMs (): number {
    const remainingMs = this._request.deadlineAtMs - performance.now()
    if (!this._hasAlternative()) return remainingMs
    const intervals = this._chunkCount - 1
    const chunkIntervalMs = intervals > 0 ? (performance.now() - this._firstChunkAtMs) / intervals : undefined
    return stallTimeoutMs(remainingMs, this._slot.upstream.unitTimeMs, chunkIntervalMs)
  }

  private _interruptedEnd (reason: 'timeout' | 'aborted'): AttemptEnd {
    if (reason === 'aborted') return { kind: 'cancelled', message: 'the caller disconnected', result: { kind: 'cancelled' } }
    if (performance.now() >= this._request.deadlineAtMs) return { kind: 'deadline', message: 'the deadline passed', result: { kind: 'timeout' } }
    return { kind: 'broken', message: 'the stream stalled', result: { kind: 'timeout' } }
  }

  private _failureEnd (error: UpstreamError): AttemptEnd {
    if (error.kind === 'cancelled') return this._interruptedEnd('aborted')
    if (error.kind === 'timeout' || error.kind === 'deadline_before_send') return this._interruptedEnd('timeout')
    const isConnectionLost = ['connect_failed', 'reset', 'truncated', 'invalid_status'].includes(error.kind)
    return { kind: 'broken', message: error.message, result: { kind: 'failed', sent: error.sent }, isConnectionLost }
  }

  private _rejectionEnd (status: number): AttemptEnd {
    const message = `the engine responded with status ${status}`
    // Another engine has accepted the request before, so the error is one of this engine.
    const hasBegun = this._tokens.length > 0
    if (status === 429 || status >= 500 || hasBegun) return { kind: 'broken', message, result: { kind: 'failed', sent: true }, status }
    return { kind: 'rejected', message, result: { kind: 'cancelled' }, status }
  }

  private _brokenEnd (message: string): AttemptEnd {
    return { kind: 'broken', message, result: { kind: 'failed', sent: true } }
  }

  private _lacksOrigin (chunk: GenerationChunk): boolean {
    return this._request.needsOrigin && chunk.tokenIds.length > 0 && chunk.origin === undefined
  }

  /** True if the stream should move to another engine. */
  private _shouldMove (chunk: GenerationChunk): boolean {
    return this._slowDetector.recordChunk(chunk.tokenIds.length) && this._tokens.length < this._request.maxTokens
  }

  private _movedEnd (): AttemptEnd {
    const units = this._tokens.length - this._firstTokenIndex
    return { kind: 'slow', message: 'the engine became slow', result: { kind: 'moved', durationMs: performance.now() - this._startedAtMs, units } }
  }

  private _completedEnd (): AttemptEnd {
    this._slowDetector.recordCompletion()
    const units = this._tokens.length - this._firstTokenIndex
    return { kind: 'done', message: '', result: { kind: 'completed', durationMs: performance.now() - this._startedAtMs, units } }
  }
}
