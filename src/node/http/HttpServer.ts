import { createServer, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { getRequestListener, RequestError } from '@hono/node-server'
import type { Context, Next } from 'hono'
import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import type { IPeerRegistry } from '../../common/peer/IPeerRegistry.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { listenAt } from '../peer/listenAt.js'
import type { AppEnv } from './request/AppEnv.js'
import { createApp } from './createApp.js'
import type { IHttpServer } from './IHttpServer.js'
import type { IRoutes } from './routes/IRoutes.js'
import type { RequestRecord } from './request/RequestRecord.js'
import { toErrorBody } from './error/toErrorBody.js'
import { writeClientError } from './error/writeClientError.js'

// Time for a slow reader to receive the end of a generation that finished at its deadline.
const STREAM_GRACE_MS = 5000
const MAX_CONNECTION_CHECK_INTERVAL_MS = 30_000

/** HTTP listener for all routes, with connection limits, access log and count of requests in flight. */
export class HttpServer extends Disposable implements IHttpServer {
  private readonly _server: Server
  private readonly _responsesBySocket = new Map<Duplex, ServerResponse>()
  private _inFlight = 0
  private _lastConnectionAtMs = performance.now()

  constructor (
    routes: IRoutes[],
    @entrySettingsId private readonly _settings: EntrySettings,
    @peerRegistryId private readonly _peers: IPeerRegistry,
    @metricsId private readonly _metrics: IMetrics,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    const app = createApp({
      routes, maxBodyBytes: _settings.maxBodyBytes, logger: _logger, track: async (context, next) => await this._track(context, next)
    })
    const listener = getRequestListener(app.fetch, { errorHandler: error => this._toErrorResponse(error) })
    this._server = this._createServer((incoming, outgoing) => { listener(incoming, outgoing) })
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
  }

  async start (): Promise<string> {
    const boundAddress = await listenAt(this._server, this._settings.listenAddress)
    this._server.on('error', error => this._logger.error({ reason: error.message }, 'listener_error'))
    return boundAddress
  }

  inFlight (): number {
    return this._inFlight
  }

  timeSinceConnectionMs (): number {
    return performance.now() - this._lastConnectionAtMs
  }

  closeIdleConnections (): void {
    if (this._server.listening) this._server.close()
    this._server.closeIdleConnections()
  }

  private _createServer (listener: Parameters<typeof createServer>[1]): Server {
    const idleMs = this._settings.idleTimeoutMs
    const server = createServer({
      maxHeaderSize: this._settings.maxHeaderBytes,
      keepAliveTimeout: idleMs,
      headersTimeout: idleMs,
      requestTimeout: idleMs,
      connectionsCheckingInterval: Math.min(idleMs, MAX_CONNECTION_CHECK_INTERVAL_MS),
      // The application rejects a missing Host header itself, in the common error format.
      requireHostHeader: false
    }, listener)
    server.maxConnections = this._settings.maxConnections
    server.on('connection', () => { this._lastConnectionAtMs = performance.now() })
    server.on('drop', () => this._metrics.count('http_connections_refused'))
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => this._onClientError(error, socket))
    return server
  }

  private async _track (context: Context<AppEnv>, next: Next): Promise<void> {
    const { incoming, outgoing } = context.env as { incoming: { socket: Duplex }, outgoing: ServerResponse }
    const record = context.get('record')
    this._inFlight += 1
    this._metrics.gauge('http_in_flight', this._inFlight)
    this._responsesBySocket.set(incoming.socket, outgoing)
    let timer: NodeJS.Timeout | undefined
    outgoing.once('close', () => {
      clearTimeout(timer)
      this._inFlight -= 1
      if (this._responsesBySocket.get(incoming.socket) === outgoing) this._responsesBySocket.delete(incoming.socket)
      this._logAccess(context, record, outgoing)
    })
    await next()
    if (this._peers.isDraining) context.res.headers.set('connection', 'close')
    // Destroys the response when its reader stalls, so that the request does not stay in flight.
    const timeoutMs = record.isStream ? record.startedAtMs + this._settings.maxStreamMs + STREAM_GRACE_MS - performance.now() : this._settings.idleTimeoutMs
    if (!outgoing.closed) timer = setTimeout(() => outgoing.destroy(), timeoutMs)
  }

  private _logAccess (context: Context<AppEnv>, record: RequestRecord, outgoing: ServerResponse): void {
    const { requestId, organisation, revision, operator, workClass } = record
    const outcome = outgoing.writableFinished ? record.outcome : 'caller_gone'
    const durationMs = performance.now() - record.startedAtMs
    this._metrics.gauge('http_in_flight', this._inFlight)
    this._metrics.count('http_requests', { organisation: organisation ?? '', work_class: workClass ?? '', outcome })
    this._metrics.duration('http_request', durationMs, { organisation: organisation ?? '', work_class: workClass ?? '' })
    this._logger.info({
      request: requestId,
      organisation,
      revision,
      operator,
      work_class: workClass,
      method: context.req.method,
      path: context.req.path,
      status: outgoing.statusCode,
      outcome,
      duration_ms: Math.round(durationMs)
    }, 'request_done')
  }

  private _onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    this._metrics.count('http_client_errors', { code: error.code ?? '' })
    const response = this._responsesBySocket.get(socket)
    // The client would take an error body written here for the response to the request that is still running.
    const isResponseInProgress = response !== undefined && (response.headersSent || response.req.complete)
    if (error.code === 'ECONNRESET' || !socket.writable || isResponseInProgress) {
      socket.destroy()
    } else {
      writeClientError(socket, error.code)
    }
  }

  private _toErrorResponse (error: unknown): Response {
    if (error instanceof RequestError) {
      return Response.json(toErrorBody({ status: 400, kind: 'malformed_request', message: error.message, outcome: 'not_run' }), { status: 400 })
    }
    this._logger.error({ reason: String(error) }, 'request_fault')
    return Response.json(toErrorBody({ status: 500, kind: 'internal_error', message: 'unexpected internal error', outcome: 'unknown' }), { status: 500 })
  }
}
