import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import type { CallerLimits } from '../../common/routing/CallerLimits.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { ListenerRequest } from './ListenerRequest.js'

/** Resolves with undefined to close the connection without a response. */
type Handler = (request: ListenerRequest) => Promise<ListenerResponse | undefined>

/** Limit of the parser; the configured limit is checked once the header section has been received. */
const MAX_HEADER_BYTES = 65_536
/** Callers may reuse a connection until shortly before the idle limit, so it is closed this much later. */
const IDLE_MARGIN_MS = 1000
const CONNECTION_CHECK_INTERVAL_MS = 1000
/** Used until limits are configured. */
const DEFAULT_HEADER_TIMEOUT_MS = 10_000
const DEFAULT_IDLE_TIMEOUT_MS = 30_000
/** Maximum number of request body bytes in memory at once; a request that exceeds it is refused. */
const MAX_BUFFERED_BYTES = 48_000_000
const OVERLOAD_RETRY_AFTER_S = '0.3'
const MAX_CONNECTIONS = 3000
const CUT_OFF_RETRY_AFTER_S = '0'

/** A request without a complete response. */
interface PendingRequest { incoming: IncomingMessage, outgoing: ServerResponse, isRead: boolean }

/** HTTP/1.1 listener. Reads complete requests within the configured limits and responds to them in order. */
export class HttpListener extends Disposable {
  private readonly _server: Server
  private _limits?: CallerLimits
  private _isClosing = false
  private _bufferedBytes = 0
  private readonly _pending = new Set<PendingRequest>()

  constructor (
    private readonly _name: string,
    private readonly _handler: Handler,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requireHostHeader: false, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS }, (request, response) => {
      this._serve(request, response).catch((fault: unknown) => this._logger.error({ listener: this._name, reason: String(fault) }, 'request_fault'))
    })
    this._server.maxConnections = MAX_CONNECTIONS
    this._server.headersTimeout = DEFAULT_HEADER_TIMEOUT_MS
    this._server.requestTimeout = 0
    this._server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS
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
  }

  /** Requests received but not yet fully answered. */
  get inFlight (): number {
    return this._pending.size
  }

  /** Adds `connection: close` to all further responses. */
  disableKeepAlive (): void {
    this._isClosing = true
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
    for (const { incoming, outgoing, isRead } of this._pending) {
      this._logger.warn({ listener: this._name, target: incoming.url, request_read: isRead }, 'request_cut_off')
      this._write(outgoing, incoming, isRead ? { status: 504 } : { status: 503, headers: { 'retry-after': CUT_OFF_RETRY_AFTER_S } })
    }
  }

  private async _serve (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const arrivedAtMs = performance.now()
    const disconnected = new AbortController()
    const pending: PendingRequest = { incoming, outgoing, isRead: false }
    this._pending.add(pending)
    outgoing.once('close', () => {
      this._pending.delete(pending)
      if (!outgoing.writableFinished) disconnected.abort()
    })
    let bufferedBytes = 0
    try {
      const refusal = this._checkHeaders(incoming)
      const body = refusal === undefined ? await this._readBody(incoming, bytes => { bufferedBytes += bytes }) : undefined
      if (body === 'aborted') return
      pending.isRead = true
      const response = refusal ?? (Buffer.isBuffer(body)
        ? await this._handler(toListenerRequest(incoming, body, arrivedAtMs, disconnected.signal))
        : body)
      this._write(outgoing, incoming, response)
    } catch (error) {
      this._logger.error({ listener: this._name, target: incoming.url, reason: String((error as Error).stack ?? error) }, 'request_fault')
      this._write(outgoing, incoming, { status: 500 })
    } finally {
      this._bufferedBytes -= bufferedBytes
    }
  }

  /** Returns a refusal if the header section or the announced body exceeds a limit. */
  private _checkHeaders (incoming: IncomingMessage): ListenerResponse | undefined {
    const limits = this._limits
    if (limits === undefined) return undefined
    const headerBytes = incoming.rawHeaders.reduce((sum, part) => sum + part.length + 2, (incoming.url ?? '').length)
    if (headerBytes > limits.maxHeaderBytes) return { status: 431, headers: { connection: 'close' } }
    const length = Number(incoming.headers['content-length'] ?? 0)
    if (length > limits.maxBodyBytes) return { status: 413, headers: { connection: 'close' } }
    return undefined
  }

  private async _readBody (incoming: IncomingMessage, onBytes: (bytes: number) => void): Promise<Buffer | ListenerResponse | 'aborted'> {
    const chunks: Buffer[] = []
    const maxBodyBytes = this._limits?.maxBodyBytes ?? MAX_BUFFERED_BYTES
    let size = 0
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        size += chunk.length
        this._bufferedBytes += chunk.length
        onBytes(chunk.length)
        if (size > maxBodyBytes) return { status: 413, headers: { connection: 'close' } }
        if (this._bufferedBytes > MAX_BUFFERED_BYTES) return { status: 503, headers: { connection: 'close', 'retry-after': OVERLOAD_RETRY_AFTER_S } }
        chunks.push(chunk)
      }
    } catch {
      // The caller has aborted its request, so no response can be sent.
      return 'aborted'
    }
    return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
  }

  private _write (outgoing: ServerResponse, incoming: IncomingMessage, response: ListenerResponse | undefined): void {
    if (outgoing.destroyed || outgoing.headersSent) return
    if (response === undefined) {
      outgoing.destroy()
      return
    }
    const body = typeof response.body === 'string' ? Buffer.from(response.body) : response.body
    const headers: Record<string, string> = { ...response.headers }
    if (this._isClosing) headers['connection'] = 'close'
    const hasNoBody = incoming.method === 'HEAD' || response.status === 204 || response.status === 304
    if (!hasNoBody) headers['content-length'] = String(body?.length ?? 0)
    this._metrics.count('http_answers', { listener: this._name, status: String(response.status) })
    outgoing.writeHead(response.status, headers)
    outgoing.end(hasNoBody ? undefined : body)
  }

  private _onClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    this._metrics.count('http_client_errors', { code: error.code ?? '' })
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    // While a response is pending on this connection, the caller would take other bytes for it.
    const hasPendingResponse = (socket as Socket & { _httpMessage?: unknown })._httpMessage !== undefined && (socket as Socket & { _httpMessage?: unknown })._httpMessage !== null
    if (error.code === 'ECONNRESET' || !socket.writable || hasPendingResponse) socket.destroy()
    else socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

function toListenerRequest (incoming: IncomingMessage, body: Buffer, arrivedAtMs: number, signal: AbortSignal): ListenerRequest {
  const target = incoming.url ?? '/'
  const queryIndex = target.indexOf('?')
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return {
    method: incoming.method ?? 'GET',
    target,
    path: queryIndex < 0 ? target : target.slice(0, queryIndex),
    query: new URLSearchParams(queryIndex < 0 ? '' : target.slice(queryIndex + 1)),
    host: headers['host'] ?? '',
    headers,
    body,
    arrivedAtMs,
    signal
  }
}
