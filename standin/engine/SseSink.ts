import type { HttpBindings } from '@hono/node-server'
import type { IStreamSink } from './IStreamSink.js'
import { tokenText } from './tokenText.js'
import type { VersionStamp } from './VersionStamp.js'

/** Streams a request's tokens as server-sent events. */
export class SseSink implements IStreamSink {
  constructor (private readonly _outgoing: HttpBindings['outgoing'], requestId: string, onClosed: () => void) {
    _outgoing.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': requestId
    })
    _outgoing.flushHeaders()
    _outgoing.once('close', onClosed)
  }

  send (tokenIds: number[], finishReason: string | null, stamp: VersionStamp | undefined): void {
    const text = tokenIds.map(tokenText).join('')
    const chunk = { choices: [{ text, token_ids: tokenIds, finish_reason: finishReason }], weights: stamp }
    this._outgoing.write(`data: ${JSON.stringify(chunk)}\n\n`)
  }

  complete (): void {
    this._outgoing.end('data: [DONE]\n\n')
  }

  truncate (): void {
    this._outgoing.end()
  }

  reset (): void {
    this._outgoing.destroy()
  }
}
