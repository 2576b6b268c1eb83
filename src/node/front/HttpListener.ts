import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable } from '../../common/kernel/Disposable.js'
import { releaseBytes } from '../../common/kernel/releaseBytes.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import type { CallerLimits } from '../../common/routing/CallerLimits.js'
import { ChunkPacer } from './ChunkPacer.js'
import type { ClientBudget } from './ClientBudget.js'
import { ClientRequest } from './ClientRequest.js'
import type { ClientTimeouts } from './ClientTimeouts.js'
import { ConnectionTable } from './ConnectionTable.js'
import { createOverloadResponse } from './createOverloadResponse.js'
import type { ListenerName } from './ListenerName.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { ListenerRequest } from './ListenerRequest.js'
import { RejectionLog } from './RejectionLog.js'
import { ResponseWriter } from './ResponseWriter.js'
import { toListenerRequest } from './toListenerRequest.js'

/** Resolves with undefined to close the connection without a response. */
type Handler = (request: ListenerRequest) => Promise<ListenerResponse | undefined>

/** Limit of the parser until limits are configured. */
const DEFAULT_MAX_HEADER_BYTES = 65_536
/** The parser rejects a header section that reaches its limit, and counts no separators. */
const PARSER_MARGIN_BYTES = 1
/** Callers may reuse a connection until shortly before the idle limit, so it is closed this much later. */
const IDLE_MARGIN_MS = 1000
const CONNECTION_CHECK_INTERVAL_MS = 1000
/** Used until limits are configured. */
const DEFAULT_HEADER_TIMEOUT_MS = 10_000
const DEFAULT_IDLE_TIMEOUT_MS = 30_000
/** Largest body until limits are configured, and of requests of other entries, which forward those of callers. */
const DEFAULT_MAX_BODY_BYTES = 48_000_000
/** Interval at which time-outs and incomplete header sections are checked. */
const SWEEP_INTERVAL_MS = 200
const CUT_OFF_RETRY_AFTER_S = '0'

/** HTTP/1.1 listener. Reads complete requests within the configured limits and responds to them in order. */
export class HttpListener extends Disposable {
  private readonly _server: Server
  private _limits?: CallerLimits
  private _runningCount = 0
  private readonly _pending = new Set<ClientRequest>()
  private readonly _pacer = this._register(new ChunkPacer())
  private readonly _rejections: RejectionLog
  private readonly _connections: ConnectionTable
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
    this._connections = new ConnectionTable(_name, _budget, this._rejections, () => this._timeouts)
    this._writer = new ResponseWriter(_name, _budget, _metrics)
    this._server = createServer({ maxHeaderSize: DEFAULT_MAX_HEADER_BYTES, noDelay: true, requireHostHeader: false, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS }, (request, response) => {
      this._serve(request, response).catch((fault: unknown) => this._logger.error({ listener: this._name, reason: String(fault) }, 'request_fault'))
    })
    this._server.headersTimeout = DEFAULT_HEADER_TIMEOUT_MS
    this._server.requestTimeout = 0
    this._server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS
    this._server.on('connection', (socket: Socket) => this._connections.accept(socket))
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this._onClientError(error, socket))
    const sweepTimer = setInterval(() => this._sweep(), SWEEP_INTERVAL_MS).unref()
    this._register(toDisposable(() => {
      clearInterval(sweepTimer)
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
    return this._pending.size
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
   * Responds to every request in flight, so that no caller waits for a process that ends: 503 if the request has not
   * been read as a whole, and 504 if it may have run.
   */
  cutOffPending (): void {
    for (const request of this._pending) {
      const { incoming, isRead } = request
      this._logger.warn({ listener: this._name, target: incoming.url, request_read: isRead }, 'request_cut_off')
      request.abortReading()
      this._writer.write(request, isRead ? { status: 504 } : { status: 503, headers: { 'retry-after': CUT_OFF_RETRY_AFTER_S } })
    }
  }

  private get _timeouts (): ClientTimeouts {
    return { headerMs: this._limits?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS, idleMs: this._limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS }
  }

  private async _serve (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const arrivedAtMs = performance.now()
    const disconnected = new AbortController()
    const { socket } = incoming
    const request = new ClientRequest(this._name, incoming, outgoing, this._budget, this._pacer, reason => this._rejections.record(reason))
    this._pending.add(request)
    this._connections.onRequestStarted(socket, request)
    outgoing.once('close', () => {
      this._pending.delete(request)
      this._connections.onRequestEnded(socket, request)
      if (!outgoing.writableFinished) disconnected.abort()
    })
    try {
      const rejection = this._checkHeaders(request) ?? request.admit()
      const body = rejection ?? await request.readBody(this._limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES)
      if (body === 'aborted') {
        this._budget.release(request)
        return
      }
      const response = body instanceof Uint8Array ? await this._run(request, body, arrivedAtMs, disconnected.signal) : body
      this._writer.write(request, response)
    } catch (error) {
      this._logger.error({ listener: this._name, target: incoming.url, reason: String((error as Error).stack ?? error) }, 'request_fault')
      this._writer.write(request, { status: 500 })
    }
  }

  /** Passes a complete request to the handler, and frees its body after that. */
  private async _run (request: ClientRequest, body: Uint8Array, arrivedAtMs: number, signal: AbortSignal): Promise<ListenerResponse | undefined> {
    try {
      if (this._name === 'front' && this._runningCount >= this._budget.maxRunningRequests) {
        this._rejections.record('running_requests')
        return createOverloadResponse()
      }
      request.startRunning()
      this._runningCount += 1
      try {
        return await this._handler(toListenerRequest(request.incoming, Buffer.from(body.buffer, body.byteOffset, body.length), arrivedAtMs, signal))
      } finally {
        this._runningCount -= 1
      }
    } finally {
      releaseBytes(body)
      request.releaseBody()
    }
  }

  /** Returns a rejection if the header section or the announced body exceeds a limit. */
  private _checkHeaders (request: ClientRequest): ListenerResponse | undefined {
    const limits = this._limits
    if (limits === undefined) return undefined
    if (request.headerBytes > limits.maxHeaderBytes) {
      this._rejections.record('header_bytes')
      return { status: 431, headers: { connection: 'close' } }
    }
    if (Number(request.incoming.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
      this._rejections.record('body_bytes')
      return { status: 413, headers: { connection: 'close' } }
    }
    return undefined
  }

  private _sweep (): void {
    const nowMs = performance.now()
    this._connections.sweep(nowMs)
    for (const request of this._pending) request.checkProgress(nowMs, this._timeouts)
    this._rejections.flush(nowMs)
    this._metrics.gauge('client_connections', this._connections.size, { listener: this._name })
    this._metrics.gauge('client_connections_limit', this._budget.maxConnections(this._name), { listener: this._name })
    this._metrics.gauge('client_memory_bytes', this._budget.usedBytes(this._name), { listener: this._name })
    this._metrics.gauge('client_memory_limit_bytes', this._budget.maxBytes)
  }

  private _onClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    this._metrics.count('http_client_errors', { code: error.code ?? '' })
    if (error.code === 'HPE_HEADER_OVERFLOW') this._rejections.record('header_bytes')
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') this._rejections.record('header_timeout')
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    // While a response is pending on this connection, the caller would take other bytes for it.
    const hasPendingResponse = (socket as Socket & { _httpMessage?: unknown })._httpMessage !== undefined && (socket as Socket & { _httpMessage?: unknown })._httpMessage !== null
    if (error.code === 'ECONNRESET' || !socket.writable || hasPendingResponse) socket.destroy()
    else this._connections.respondAndClose(socket, status)
  }
}
