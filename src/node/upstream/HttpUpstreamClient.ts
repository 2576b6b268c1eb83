import { err, ResultAsync, type Result } from 'neverthrow'
import { Agent } from 'undici'
import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import { isReleasable } from '../../common/kernel/isReleasable.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { UpstreamResponse } from '../../common/upstream/client/UpstreamResponse.js'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import type { UpstreamStream } from '../../common/upstream/client/UpstreamStream.js'
import { createResetMarkingConnector } from './createResetMarkingConnector.js'
import { EventStreamSink } from './EventStreamSink.js'
import { Exchange } from './Exchange.js'
import type { IExchangeSink } from './IExchangeSink.js'
import { defaultUpstreamProtocol } from './defaultUpstreamProtocol.js'
import { toRequestHeaders } from './toRequestHeaders.js'
import type { UpstreamProtocol } from './UpstreamProtocol.js'
import { BufferedResponseSink } from './BufferedResponseSink.js'
import { SharedBudget } from '../../common/kernel/SharedBudget.js'

/** Long enough for one retransmission of a lost SYN, which the kernel sends after 1 s. */
const CONNECT_TIMEOUT_MS = 1_500

/** Limit on the bodies that are buffered at the same time, as a multiple of the limit of one body. */
const MAX_BUFFERED_BODIES = 3

type Settle<T> = (result: Result<T, UpstreamError>) => void

/** IUpstreamClient on undici, using its dispatch interface, which neither retries requests nor consumes bodies. */
export class HttpUpstreamClient extends Disposable implements IUpstreamClient {
  private readonly _agent: Agent
  private readonly _budget: SharedBudget

  constructor (
    @entrySettingsId private readonly _settings: Pick<EntrySettings, 'maxBodyBytes' | 'maxHeaderBytes'>,
    private readonly _protocol: UpstreamProtocol = defaultUpstreamProtocol
  ) {
    super()
    this._budget = new SharedBudget(MAX_BUFFERED_BODIES * this._settings.maxBodyBytes)
    this._agent = new Agent({
      // One request at a time per connection, with an unlimited number of connections.
      pipelining: 1,
      connections: null,
      allowH2: false,
      connect: createResetMarkingConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: _protocol.keepAliveTimeoutMs,
      keepAliveMaxTimeout: _protocol.maxKeepAliveTimeoutMs,
      maxHeaderSize: this._settings.maxHeaderBytes,
      // Time is limited by the deadline of each request.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this._register(toDisposable(() => { this._agent.destroy().catch(() => undefined) }))
  }

  call (address: string, request: UpstreamRequest, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError> {
    return this._start(address, request, signal, (settle: Settle<UpstreamResponse>, fail) => {
      return new BufferedResponseSink(this._settings.maxBodyBytes, this._budget, settle, fail)
    })
  }

  stream (address: string, request: UpstreamRequest, signal: AbortSignal): ResultAsync<UpstreamStream, UpstreamError> {
    return this._start(address, request, signal, (settle: Settle<UpstreamStream>, fail) => {
      return new EventStreamSink(settle, () => fail({ kind: 'cancelled', message: 'reader closed the stream', sent: true }))
    })
  }

  /** Sends one request and passes the parts of its response to `sink`. */
  send (address: string, request: UpstreamRequest, signal: AbortSignal, sink: IExchangeSink): void {
    const error = this._checkBeforeSend(request, signal)
    if (error !== undefined) {
      sink.onError(error)
      return
    }
    this._dispatch(address, request, new Exchange(request, signal, sink, this._protocol))
  }

  private _start<T> (
    address: string,
    request: UpstreamRequest,
    signal: AbortSignal,
    createSink: (settle: Settle<T>, fail: (error: UpstreamError) => void) => IExchangeSink
  ): ResultAsync<T, UpstreamError> {
    return new ResultAsync(new Promise<Result<T, UpstreamError>>((resolve) => {
      const error = this._checkBeforeSend(request, signal)
      if (error !== undefined) {
        resolve(err(error))
        return
      }
      const exchange: Exchange = new Exchange(request, signal, createSink(resolve, failure => exchange.fail(failure)), this._protocol)
      this._dispatch(address, request, exchange)
    }))
  }

  private _dispatch (address: string, request: UpstreamRequest, exchange: Exchange): void {
    try {
      this._agent.dispatch({
        origin: `http://${address}`,
        path: request.path,
        method: request.method as 'GET',
        headers: toRequestHeaders(request, this._protocol),
        body: request.body ?? null,
        // An upstream may respond before it has read the body, whose memory is freed after the response. The rest of the
        // body must then not be sent, so the connection serves no further request.
        reset: request.body !== undefined && isReleasable(request.body),
        idempotent: false
      }, exchange)
    } catch (error) {
      // undici throws on a malformed request, before it opens a connection.
      exchange.fail({ kind: 'connect_failed', message: String(error), sent: false })
    }
  }

  private _checkBeforeSend (request: UpstreamRequest, signal: AbortSignal): UpstreamError | undefined {
    if (signal.aborted) {
      return { kind: 'cancelled', message: 'request was cancelled before it was sent', sent: false }
    }
    if (performance.now() >= request.deadlineAtMs) {
      return { kind: 'deadline_before_send', message: 'deadline passed before the request was sent', sent: false }
    }
    return undefined
  }
}
