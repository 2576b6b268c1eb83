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

type Item = Result<GenerationChunk, GenerationError>
type Events = AsyncIterator<Result<string, UpstreamError>>

/** One engine's part of a generation; continues after `tokens` and adds to them. */
export class GenerationAttempt {
  /** True unless it is certain that the engine received nothing. */
  wasSent = false
  private readonly _controller = new AbortController()
  private readonly _startedAtMs = performance.now()
  private readonly _firstToken: number
  private _chunks = 0
  private _firstChunkAtMs = 0

  constructor (
    private readonly _request: GenerationRequest,
    private readonly _slot: ISlot,
    private readonly _client: IUpstreamClient,
    private readonly _table: IUpstreamTable,
    private readonly _tokens: number[],
    private readonly _requestId: string,
    private readonly _hasAlternative: () => boolean,
    private readonly _slowness: SlowStreamDetector
  ) {
    this._firstToken = _tokens.length
  }

  /** Yields chunks that belong to the generation; the slot is released in every case. */
  async * run (): AsyncGenerator<Item, AttemptEnd> {
    let end: AttemptEnd = { kind: 'cancelled', message: 'the consumer stopped reading', result: { kind: 'cancelled' } }
    try {
      end = yield * this._read()
      return end
    } finally {
      this._controller.abort()
      // Reported before the release, while the request still counts as in flight on the engine.
      if (end.isConnectionLost === true) {
        this._table.reportFailure(this._slot.upstream.id)
      }
      this._slot.release(end.result)
    }
  }

  private async * _read (): AsyncGenerator<Item, AttemptEnd> {
    const opened = await withTimeout(this._open(), this._boundMs(), this._request.signal)
    if (typeof opened === 'string') {
      this.wasSent = true
      return this._interrupted(opened)
    }
    if (opened.isErr()) {
      this.wasSent = opened.error.sent
      return this._failure(opened.error)
    }
    this.wasSent = true
    if (opened.value.status !== 200) return this._refusal(opened.value.status)
    return yield * this._readEvents(opened.value.events[Symbol.asyncIterator]())
  }

  private async * _readEvents (events: Events): AsyncGenerator<Item, AttemptEnd> {
    let last: GenerationChunk | undefined
    for (;;) {
      const next = await withTimeout(events.next(), this._boundMs(), this._request.signal)
      if (typeof next === 'string') return this._interrupted(next)
      if (next.done === true) return this._broken('the stream ended without its end marker')
      if (next.value.isErr()) return this._failure(next.value.error)
      if (next.value.value === '[DONE]') {
        yield this._take(last ?? { text: '', tokenIds: [], finishReason: 'stop' })
        return this._done()
      }
      const parsed = parseEngineChunk(next.value.value)
      if (parsed === undefined) return this._broken('the stream carries an invalid chunk')
      const chunk = this._chunk(parsed)
      if (chunk === undefined || last !== undefined) continue
      if (this._lacksOrigin(chunk)) {
        // Not `completed`: the short time would make the engine look fast and attract more samples.
        return { kind: 'origin_unknown', message: 'a chunk names no weight version', result: { kind: 'cancelled' } }
      }
      if (chunk.tokenIds.length > 0 && this._tokens.length >= this._request.maxTokens) {
        yield this._take({ text: '', tokenIds: [], finishReason: 'length' })
        return this._done()
      }
      // The last chunk counts only with the end marker; without it, it is generated again.
      if (chunk.finishReason !== undefined) last = chunk
      else {
        yield this._take(chunk)
        if (this._isSlow(chunk)) return this._moved()
      }
    }
  }

  private _open (): ReturnType<IUpstreamClient['stream']> {
    const { parameters, model, prompt, maxTokens, deadlineAtMs } = this._request
    // Undefined removes a caller's own field of that name.
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

  private _chunk (parsed: EngineChunk): GenerationChunk | undefined {
    const choice = parsed.choices[0]
    if (choice === undefined) return undefined
    this._chunks++
    if (this._chunks === 1) this._firstChunkAtMs = performance.now()
    const from = this._tokens.length
    const to = from + choice.token_ids.length
    const origin = parsed.weights != null && to > from
      ? { from, to, version: parsed.weights.version, kv_version: parsed.weights.kv_version }
      : undefined
    return { text: choice.text, tokenIds: choice.token_ids, origin, finishReason: choice.finish_reason ?? undefined }
  }

  private _take (chunk: GenerationChunk): Item {
    this._tokens.push(...chunk.tokenIds)
    return ok(chunk)
  }

  private _boundMs (): number {
    const remainingMs = this._request.deadlineAtMs - performance.now()
    if (!this._hasAlternative()) return remainingMs
    const gaps = this._chunks - 1
    const gapMs = gaps > 0 ? (performance.now() - this._firstChunkAtMs) / gaps : undefined
    return stallTimeoutMs(remainingMs, this._slot.upstream.unitTimeMs, gapMs)
  }

  private _interrupted (reason: 'timeout' | 'aborted'): AttemptEnd {
    if (reason === 'aborted') return { kind: 'cancelled', message: 'the caller went away', result: { kind: 'cancelled' } }
    if (performance.now() >= this._request.deadlineAtMs) return { kind: 'deadline', message: 'the deadline passed', result: { kind: 'timeout' } }
    return { kind: 'broken', message: 'the stream stalled', result: { kind: 'timeout' } }
  }

  private _failure (error: UpstreamError): AttemptEnd {
    if (error.kind === 'cancelled') return this._interrupted('aborted')
    if (error.kind === 'timeout' || error.kind === 'deadline_before_send') return this._interrupted('timeout')
    const isConnectionLost = error.kind === 'connect_failed' || error.kind === 'reset' || error.kind === 'truncated'
    return { kind: 'broken', message: error.message, result: { kind: 'failed', sent: error.sent }, isConnectionLost }
  }

  private _refusal (status: number): AttemptEnd {
    const message = `the engine answered with status ${status}`
    if (status === 429 || status >= 500) return { kind: 'broken', message, result: { kind: 'failed', sent: true }, status }
    return { kind: 'refused', message, result: { kind: 'cancelled' }, status }
  }

  private _broken (message: string): AttemptEnd {
    return { kind: 'broken', message, result: { kind: 'failed', sent: true } }
  }

  private _lacksOrigin (chunk: GenerationChunk): boolean {
    return this._request.needsOrigin && chunk.tokenIds.length > 0 && chunk.origin === undefined
  }

  private _isSlow (chunk: GenerationChunk): boolean {
    return this._slowness.recordChunk(chunk.tokenIds.length) && this._tokens.length < this._request.maxTokens
  }

  private _moved (): AttemptEnd {
    const units = this._tokens.length - this._firstToken
    return { kind: 'slow', message: 'the engine has become slow', result: { kind: 'moved', durationMs: performance.now() - this._startedAtMs, units } }
  }

  private _done (): AttemptEnd {
    this._slowness.recordCompletion()
    const units = this._tokens.length - this._firstToken
    return { kind: 'done', message: '', result: { kind: 'completed', durationMs: performance.now() - this._startedAtMs, units } }
  }
}
