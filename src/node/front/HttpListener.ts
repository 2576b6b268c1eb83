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

type Handler = (request: ListenerRequest) => Promise<ListenerResponse | undefined>

/** Parser limit; the limit in force is checked when the head has been read. */
const MAX_HEADER_BYTES = 65_536
/** Callers reuse a connection until shortly before the idle limit. */
const IDLE_MARGIN_MS = 1000
const CHECK_INTERVAL_MS = 1000
/** Head of a request without a limit in force. */
const DEFAULT_HEADER_TIMEOUT_MS = 10_000
const DEFAULT_IDLE_TIMEOUT_MS = 30_000
/** Bodies that may be held in memory at once; a request beyond that is refused. */
const MAX_BUFFERED_BYTES = 48_000_000
const BUSY_RETRY_AFTER_S = '0.3'
const MAX_CONNECTIONS = 3000

/** An HTTP/1.1 listener that reads requests whole, within the limits in force, and answers them in order. */
export class HttpListener extends Disposable {
  private readonly _server: Server
  private _limits?: CallerLimits
  private _isClosing = false
  private _bufferedBytes = 0
  private _inFlight = 0

  constructor (
    private readonly _name: string,
    private readonly _handler: Handler,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requireHostHeader: false, connectionsCheckingInterval: CHECK_INTERVAL_MS }, (request, response) => {
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

  get inFlight (): number {
    return this._inFlight
  }

  /** Tells callers with each answer that the connection closes. */
  disableKeepAlive (): void {
    this._isClosing = true
  }

  /** Stops accepting, and closes connections that are idle between two requests. */
  closeIdle (): void {
    if (this._server.listening) this._server.close()
    this._server.closeIdleConnections()
  }

  private async _serve (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const arrivedAtMs = performance.now()
    const gone = new AbortController()
    this._inFlight += 1
    outgoing.once('close', () => {
      this._inFlight -= 1
      if (!outgoing.writableFinished) gone.abort()
    })
    let held = 0
    try {
      const refusal = this._refuseHead(incoming)
      const body = refusal === undefined ? await this._readBody(incoming, bytes => { held += bytes }) : undefined
      if (body === 'gone') return
      const answer = refusal ?? (Buffer.isBuffer(body)
        ? await this._handler(toFrontRequest(incoming, body, arrivedAtMs, gone.signal))
        : body)
      this._write(outgoing, incoming, answer)
    } catch (error) {
      this._logger.error({ listener: this._name, target: incoming.url, reason: String((error as Error).stack ?? error) }, 'request_fault')
      this._write(outgoing, incoming, { status: 500 })
    } finally {
      this._bufferedBytes -= held
    }
  }

  private _refuseHead (incoming: IncomingMessage): ListenerResponse | undefined {
    const limits = this._limits
    if (limits === undefined) return undefined
    const headBytes = incoming.rawHeaders.reduce((sum, part) => sum + part.length + 2, (incoming.url ?? '').length)
    if (headBytes > limits.maxHeaderBytes) return { status: 431, headers: { connection: 'close' } }
    const length = Number(incoming.headers['content-length'] ?? 0)
    if (length > limits.maxBodyBytes) return { status: 413, headers: { connection: 'close' } }
    return undefined
  }

  private async _readBody (incoming: IncomingMessage, onBytes: (bytes: number) => void): Promise<Buffer | ListenerResponse | 'gone'> {
    const chunks: Buffer[] = []
    const maxBodyBytes = this._limits?.maxBodyBytes ?? MAX_BUFFERED_BYTES
    let size = 0
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        size += chunk.length
        this._bufferedBytes += chunk.length
        onBytes(chunk.length)
        if (size > maxBodyBytes) return { status: 413, headers: { connection: 'close' } }
        if (this._bufferedBytes > MAX_BUFFERED_BYTES) return { status: 503, headers: { connection: 'close', 'retry-after': BUSY_RETRY_AFTER_S } }
        chunks.push(chunk)
      }
    } catch {
      // The caller broke off its own request; there is nobody to answer.
      return 'gone'
    }
    return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
  }

  private _write (outgoing: ServerResponse, incoming: IncomingMessage, answer: ListenerResponse | undefined): void {
    if (outgoing.destroyed || outgoing.headersSent) return
    if (answer === undefined) {
      outgoing.destroy()
      return
    }
    const body = typeof answer.body === 'string' ? Buffer.from(answer.body) : answer.body
    const headers: Record<string, string> = { ...answer.headers }
    if (this._isClosing) headers['connection'] = 'close'
    const hasNoBody = incoming.method === 'HEAD' || answer.status === 204 || answer.status === 304
    if (!hasNoBody) headers['content-length'] = String(body?.length ?? 0)
    this._metrics.count('http_answers', { listener: this._name, status: String(answer.status) })
    outgoing.writeHead(answer.status, headers)
    outgoing.end(hasNoBody ? undefined : body)
  }

  private _onClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    this._metrics.count('http_client_errors', { code: error.code ?? '' })
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    // While an answer is due on this connection, other bytes would be taken for it.
    const isBusy = (socket as Socket & { _httpMessage?: unknown })._httpMessage !== undefined && (socket as Socket & { _httpMessage?: unknown })._httpMessage !== null
    if (error.code === 'ECONNRESET' || !socket.writable || isBusy) socket.destroy()
    else socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

function toFrontRequest (incoming: IncomingMessage, body: Buffer, arrivedAtMs: number, signal: AbortSignal): ListenerRequest {
  const target = incoming.url ?? '/'
  const queryAt = target.indexOf('?')
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return {
    method: incoming.method ?? 'GET',
    target,
    path: queryAt < 0 ? target : target.slice(0, queryAt),
    query: new URLSearchParams(queryAt < 0 ? '' : target.slice(queryAt + 1)),
    host: headers['host'] ?? '',
    headers,
    body,
    arrivedAtMs,
    signal
  }
}
