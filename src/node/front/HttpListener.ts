import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable } from '../../common/kernel/Disposable.js'
import { releaseBytes } from '../../common/kernel/releaseBytes.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import type { CallerLimits } from '../../common/routing/CallerLimits.js'
import type { ClientBudget } from './ClientBudget.js'
import type { ClientRequest } from './ClientRequest.js'
import { createOverloadResponse } from './createOverloadResponse.js'
import { formatEmptyResponse } from './formatEmptyResponse.js'
import type { ListenerName } from './ListenerName.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { ListenerRequest } from './ListenerRequest.js'
import { RejectionLog } from './RejectionLog.js'
import { RequestIntake } from './RequestIntake.js'
import { ResponseWriter } from './ResponseWriter.js'
import { toListenerRequest } from './toListenerRequest.js'

/** Resolves with undefined to close the connection without a response. */
type Handler = (request: ListenerRequest) => Promise<ListenerResponse | undefined>

/** Used until limits are configured, and for other entries, which forward the bodies of callers. */
const DEFAULT_LIMITS: CallerLimits = { maxHeaderBytes: 65_536, maxBodyBytes: 48_000_000, headerTimeoutMs: 10_000, idleTimeoutMs: 30_000 }
/** The parser rejects a header section that reaches its limit, and counts no separators. */
const PARSER_MARGIN_BYTES = 1
/** Callers may reuse a connection until shortly before the idle limit, so it is closed this much later. */
const IDLE_MARGIN_MS = 1000
const CONNECTION_CHECK_INTERVAL_MS = 1000
const CUT_OFF_RETRY_AFTER_S = '0'

/** HTTP/1.1 listener. Reads complete requests within the configured limits and responds to them in order. */
export class HttpListener extends Disposable {
  private readonly _server: Server
  private _limits = DEFAULT_LIMITS
  private _runningCount = 0
  private readonly _rejections: RejectionLog
  private readonly _intake: RequestIntake
  private readonly _writer: ResponseWriter

  constructor (
    private readonly _name: ListenerName,
    private readonly _handler: Handler,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics,
    private readonly _budget: ClientBudget
  ) {
    super()
    this._rejections = new RejectionLog(_name, _logger, _metrics)
    this._intake = this._register(new RequestIntake(_name, _budget, this._rejections, _metrics, () => this._limits))
    this._writer = new ResponseWriter(_name, _budget, _metrics)
    const options = {
      maxHeaderSize: DEFAULT_LIMITS.maxHeaderBytes,
      noDelay: true,
      requireHostHeader: false,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      IncomingMessage: this._intake.messageClass
    }
    this._server = createServer(options, (request, response) => {
      this._serve(request, response).catch((fault: unknown) => this._logger.error({ listener: this._name, reason: String(fault) }, 'request_fault'))
    })
    this._server.headersTimeout = DEFAULT_LIMITS.headerTimeoutMs
    this._server.requestTimeout = 0
    this._server.keepAliveTimeout = DEFAULT_LIMITS.idleTimeoutMs
    this._intake.attachTo(this._server)
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this._onClientError(error, socket))
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
  }

  /** Starts listening; resolves with the bound address. Port 0 selects a free port. */
  async listen (address: string): Promise<string> {
    const [host, port] = address.split(':')
    this._server.listen({ port: Number(port), host, backlog: 1024 })
    await once(this._server, 'listening')
    this._server.on('error', error => this._logger.error({ listener: this._name, reason: error.message }, 'listener_error'))
    const bound = this._server.address() as AddressInfo
    return `${bound.address}:${bound.port}`
  }

  setLimits (limits: CallerLimits): void {
    this._limits = limits
    this._server.headersTimeout = limits.headerTimeoutMs
    this._server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    // Read for each new connection; the type declares it as an option only.
    Object.assign(this._server, { maxHeaderSize: limits.maxHeaderBytes + PARSER_MARGIN_BYTES })
  }

  /** Requests received but not yet fully responded to. */
  get inFlight (): number {
    return this._intake.pending.size
  }

  /** Adds `connection: close` to all further responses. */
  disableKeepAlive (): void {
    this._writer.disableKeepAlive()
  }

  /** Stops accepting connections, and closes those that are idle between two requests. */
  closeIdle (): void {
    if (this._server.listening) this._server.close()
    this._server.closeIdleConnections()
  }

  /**
   * Responds to every request in flight, so that no caller waits for a process that ends: 504 if the request may have
   * run, else 503.
   */
  cutOffPending (): void {
    for (const request of this._intake.pending) {
      const { incoming, mayHaveRun } = request
      this._logger.warn({ listener: this._name, target: incoming.url, may_have_run: mayHaveRun }, 'request_cut_off')
      request.abort()
      this._writer.write(request, mayHaveRun ? { status: 504 } : { status: 503, headers: { 'retry-after': CUT_OFF_RETRY_AFTER_S } })
    }
  }

  private async _serve (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const arrivedAtMs = performance.now()
    const received = await this._intake.receive(incoming, outgoing)
    if (received === undefined) return
    const { request, body, rejection } = received
    try {
      this._writer.write(request, rejection ?? await this._run(request, body, arrivedAtMs))
    } catch (error) {
      this._logger.error({ listener: this._name, target: incoming.url, reason: String((error as Error).stack ?? error) }, 'request_fault')
      this._writer.write(request, { status: 500 })
    }
  }

  /** Passes a complete request to the handler, and frees its body after that. */
  private async _run (request: ClientRequest, body: Uint8Array, arrivedAtMs: number): Promise<ListenerResponse | undefined> {
    try {
      if (this._name === 'front' && this._runningCount >= this._budget.maxRunningRequests) {
        this._rejections.record('running_requests')
        return createOverloadResponse()
      }
      request.startRunning()
      this._runningCount += 1
      try {
        return await this._handler(toListenerRequest(request.incoming, Buffer.from(body.buffer, body.byteOffset, body.length), arrivedAtMs, request.signal))
      } finally {
        this._runningCount -= 1
      }
    } finally {
      releaseBytes(body)
      request.releaseBody()
    }
  }

  private _onClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    this._metrics.count('http_client_errors', { code: error.code ?? '' })
    if (error.code === 'HPE_HEADER_OVERFLOW') this._rejections.record('header_bytes')
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') this._rejections.record('header_timeout')
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    // While a response is pending on this connection, the caller would take other bytes for it.
    const hasPendingResponse = (socket as Socket & { _httpMessage?: unknown })._httpMessage !== undefined && (socket as Socket & { _httpMessage?: unknown })._httpMessage !== null
    if (error.code === 'ECONNRESET' || !socket.writable || hasPendingResponse) socket.destroy()
    else this._intake.respondAndClose(socket, formatEmptyResponse(status))
  }
}
