import type { Context } from 'hono'
import { streamSSE, type SSEStreamingApi } from 'hono/streaming'
import type { Result } from 'neverthrow'
import type { GenerationChunk } from '../../../common/generation/GenerationChunk.js'
import type { GenerationError } from '../../../common/generation/GenerationError.js'
import type { AppEnv } from '../request/AppEnv.js'
import type { CompletionStyle } from './CompletionStyle.js'
import type { GenerationInput } from './GenerationInput.js'
import { sendError } from '../error/sendError.js'
import { toErrorBody } from '../error/toErrorBody.js'

type Item = Result<GenerationChunk, GenerationError>

const ENDED_EARLY: GenerationError = { kind: 'stream_incomplete', message: 'the generation ended without its last chunk', outcome: 'unknown', status: 502 }

/** Writes one generation as a whole response or as a stream of events. */
export class GenerationResponder {
  private readonly _id: string
  private readonly _created = Math.floor(Date.now() / 1000)
  private _tokens = 0

  constructor (
    private readonly _context: Context<AppEnv>,
    private readonly _style: CompletionStyle,
    private readonly _input: GenerationInput
  ) {
    this._id = _style.idPrefix + _context.get('record').requestId
  }

  async respond (items: AsyncIterable<Item>): Promise<Response> {
    if (!this._input.isStream) return await this._respondWhole(items)
    const iterator = items[Symbol.asyncIterator]()
    // An error before the first chunk can still be told by the status.
    const first = await iterator.next()
    if (first.done === true) return sendError(this._context, ENDED_EARLY)
    if (first.value.isErr()) {
      await iterator.return?.()
      return sendError(this._context, first.value.error)
    }
    const chunk = first.value.value
    this._context.get('record').isStream = true
    return streamSSE(this._context, async stream => await this._stream(stream, chunk, iterator))
  }

  private async _respondWhole (items: AsyncIterable<Item>): Promise<Response> {
    let text = ''
    for await (const item of items) {
      if (item.isErr()) return sendError(this._context, item.error)
      const chunk = item.value
      text += chunk.text
      this._tokens += chunk.tokenIds.length
      if (chunk.finishReason !== undefined) {
        return this._context.json({
          ...this._head(this._style.wholeObject),
          choices: [this._style.wholeChoice(text, chunk.finishReason)],
          usage: this._usage()
        })
      }
    }
    return sendError(this._context, ENDED_EARLY)
  }

  private async _stream (stream: SSEStreamingApi, first: GenerationChunk, iterator: AsyncIterator<Item>): Promise<void> {
    const record = this._context.get('record')
    let chunk: GenerationChunk | undefined = first
    let isFirst = true
    try {
      // Writes to a stream whose reader is gone succeed silently, so the end must be noticed here.
      while (chunk !== undefined && !stream.aborted) {
        await this._writeChunk(stream, chunk, isFirst)
        isFirst = false
        if (chunk.finishReason !== undefined) return await this._finish(stream)
        const next: IteratorResult<Item> = await iterator.next()
        const error: GenerationError | undefined = next.done === true ? ENDED_EARLY : next.value.isErr() ? next.value.error : undefined
        if (error !== undefined) {
          record.outcome = error.kind
          return await writeError(stream, error)
        }
        chunk = next.done === true ? undefined : next.value._unsafeUnwrap()
      }
    } catch (error) {
      record.outcome = 'internal_error'
      await writeError(stream, { kind: 'internal_error', message: 'unexpected fault', outcome: 'unknown', status: 500 })
      throw error
    } finally {
      await iterator.return?.()
    }
  }

  private async _writeChunk (stream: SSEStreamingApi, chunk: GenerationChunk, isFirst: boolean): Promise<void> {
    this._tokens += chunk.tokenIds.length
    await stream.writeSSE({
      data: JSON.stringify({
        ...this._head(this._style.chunkObject),
        choices: [this._style.chunkChoice(chunk.text, isFirst, chunk.finishReason ?? null)]
      })
    })
  }

  private async _finish (stream: SSEStreamingApi): Promise<void> {
    if (this._input.includeUsage) {
      await stream.writeSSE({ data: JSON.stringify({ ...this._head(this._style.chunkObject), choices: [], usage: this._usage() }) })
    }
    await stream.writeSSE({ data: '[DONE]' })
  }

  private _head (object: string): Record<string, unknown> {
    return { id: this._id, object, created: this._created, model: this._input.service }
  }

  /** Engines do not report the length of the prompt in tokens, so it is stated as not known. */
  private _usage (): Record<string, number | null> {
    return { prompt_tokens: null, completion_tokens: this._tokens, total_tokens: null }
  }
}

async function writeError (stream: SSEStreamingApi, error: GenerationError): Promise<void> {
  await stream.writeSSE({ event: 'error', data: JSON.stringify(toErrorBody(error)) })
}
