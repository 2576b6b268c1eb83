import type { Context } from 'hono'
import { streamSSE, type SSEStreamingApi } from 'hono/streaming'
import type { Result } from 'neverthrow'
import type { GenerationChunk } from '../../../common/generation/GenerationChunk.js'
import type { GenerationError } from '../../../common/generation/GenerationError.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { CompletionFormat } from './CompletionFormat.js'
import type { GenerationInput } from './GenerationInput.js'
import { sendError } from '../error/sendError.js'
import { toErrorBody } from '../error/toErrorBody.js'

type ChunkResult = Result<GenerationChunk, GenerationError>

const INCOMPLETE_STREAM: GenerationError = { kind: 'stream_incomplete', message: 'the generation ended before its final chunk', outcome: 'unknown', status: 502 }

/** Sends a generation as one JSON response or as a stream of server-sent events. */
export class GenerationResponder {
  private readonly _id: string
  private readonly _created = Math.floor(Date.now() / 1000)
  private _completionTokens = 0

  constructor (
    private readonly _context: Context<AppEnv>,
    private readonly _format: CompletionFormat,
    private readonly _input: GenerationInput
  ) {
    this._id = _format.idPrefix + _context.get('record').requestId
  }

  async respond (results: AsyncIterable<ChunkResult>): Promise<Response> {
    if (!this._input.isStream) return await this._respondJson(results)
    const iterator = results[Symbol.asyncIterator]()
    // An error before the first chunk can still be reported by the HTTP status.
    const first = await iterator.next()
    if (first.done === true) return sendError(this._context, INCOMPLETE_STREAM)
    if (first.value.isErr()) {
      await iterator.return?.()
      return sendError(this._context, first.value.error)
    }
    const chunk = first.value.value
    this._context.get('record').isStream = true
    return streamSSE(this._context, async stream => await this._writeEvents(stream, chunk, iterator))
  }

  private async _respondJson (results: AsyncIterable<ChunkResult>): Promise<Response> {
    let text = ''
    for await (const result of results) {
      if (result.isErr()) return sendError(this._context, result.error)
      const chunk = result.value
      text += chunk.text
      this._completionTokens += chunk.tokenIds.length
      if (chunk.finishReason !== undefined) {
        return this._context.json({
          ...this._commonFields(this._format.responseObject),
          choices: [this._format.toResponseChoice(text, chunk.finishReason)],
          usage: this._usage()
        })
      }
    }
    return sendError(this._context, INCOMPLETE_STREAM)
  }

  private async _writeEvents (stream: SSEStreamingApi, first: GenerationChunk, iterator: AsyncIterator<ChunkResult>): Promise<void> {
    const record = this._context.get('record')
    let chunk: GenerationChunk | undefined = first
    let isFirst = true
    try {
      // Writing to a stream whose reader has disconnected does not fail, so `aborted` is checked before each write.
      while (chunk !== undefined && !stream.aborted) {
        await this._writeChunk(stream, chunk, isFirst)
        isFirst = false
        if (chunk.finishReason !== undefined) return await this._writeEnd(stream)
        const next: IteratorResult<ChunkResult> = await iterator.next()
        const error: GenerationError | undefined = next.done === true ? INCOMPLETE_STREAM : next.value.isErr() ? next.value.error : undefined
        if (error !== undefined) {
          record.outcome = error.kind
          return await writeError(stream, error)
        }
        chunk = next.done === true ? undefined : next.value._unsafeUnwrap()
      }
    } catch (error) {
      record.outcome = 'internal_error'
      await writeError(stream, { kind: 'internal_error', message: 'unexpected internal error', outcome: 'unknown', status: 500 })
      throw error
    } finally {
      await iterator.return?.()
    }
  }

  private async _writeChunk (stream: SSEStreamingApi, chunk: GenerationChunk, isFirst: boolean): Promise<void> {
    this._completionTokens += chunk.tokenIds.length
    await stream.writeSSE({
      data: JSON.stringify({
        ...this._commonFields(this._format.chunkObject),
        choices: [this._format.toChunkChoice(chunk.text, isFirst, chunk.finishReason ?? null)]
      })
    })
  }

  private async _writeEnd (stream: SSEStreamingApi): Promise<void> {
    if (this._input.includeUsage) {
      await stream.writeSSE({ data: JSON.stringify({ ...this._commonFields(this._format.chunkObject), choices: [], usage: this._usage() }) })
    }
    await stream.writeSSE({ data: '[DONE]' })
  }

  private _commonFields (object: string): Record<string, unknown> {
    return { id: this._id, object, created: this._created, model: this._input.service }
  }

  /** Engines do not report the length of the prompt in tokens, so it is null. */
  private _usage (): Record<string, number | null> {
    return { prompt_tokens: null, completion_tokens: this._completionTokens, total_tokens: null }
  }
}

async function writeError (stream: SSEStreamingApi, error: GenerationError): Promise<void> {
  await stream.writeSSE({ event: 'error', data: JSON.stringify(toErrorBody(error)) })
}
