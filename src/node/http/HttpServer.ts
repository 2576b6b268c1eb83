import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { getRequestListener, RequestError } from '@hono/node-server'
import type { Context, Next } from 'hono'
import { Disposable } from '../../common/kernel/Disposable.js'
import { releaseBytes } from '../../common/kernel/releaseBytes.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import type { IPeerRegistry } from '../../common/peer/IPeerRegistry.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { ClientBudget } from '../front/ClientBudget.js'
import type { ClientRequest } from '../front/ClientRequest.js'
import type { ListenerResponse } from '../front/ListenerResponse.js'
import { RejectionLog } from '../front/RejectionLog.js'
import { RequestIntake } from '../front/RequestIntake.js'
import { listenAt } from '../peer/listenAt.js'
import type { AppEnv } from './request/AppEnv.js'
import { createApp } from './createApp.js'
import type { IHttpServer } from './IHttpServer.js'
import type { IRoutes } from './routes/IRoutes.js'
import type { RequestRecord } from './request/RequestRecord.js'
import { toRequestId } from './request/toRequestId.js'
import { toErrorBody } from './error/toErrorBody.js'
import { toRejectionError } from './error/toRejectionError.js'
import { writeClientError } from './error/writeClientError.js'

// Time for a slow reader to receive the end of a generation that finished at its deadline.
const STREAM_GRACE_MS = 5000
const MAX_CONNECTION_CHECK_INTERVAL_MS = 30_000
/** In whole seconds, as in all responses of this interface. */
const OVERLOAD_RETRY_AFTER_S = '1'

/** HTTP listener for all routes, with connection limits, access log and count of requests in flight. */
export class HttpServer extends Disposable implements IHttpServer {
  private readonly _server: Server
  private readonly _intake: RequestIntake
  private readonly _handle: ReturnType<typeof getRequestListener>
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
    const app = createApp({ routes, logger: _logger, track: async (context, next) => await this._track(context, next) })
    this._handle = getRequestListener(app.fetch, { errorHandler: error => this._toErrorResponse(error) })
    const { memoryMb, maxConnections, maxHeaderBytes, maxBodyBytes, idleTimeoutMs } = _settings
    const budget = new ClientBudget({ memoryMb, maxFds: Infinity, maxCallerConnections: maxConnections })
    const limits = { maxHeaderBytes, maxBodyBytes, headerTimeoutMs: idleTimeoutMs, idleTimeoutMs }
    this._intake = this._register(new RequestIntake('front', budget, new RejectionLog('front', _logger, _metrics), _metrics, () => limits))
    this._server = this._createServer((incoming, outgoing) => {
      this._serve(incoming, outgoing).catch((fault: unknown) => this._logger.error({ reason: String(fault) }, 'request_fault'))
    })
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
    return this._intake.pending.size
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
      requireHostHeader: false,
      IncomingMessage: this._intake.messageClass
    }, listener)
    this._intake.attachTo(server)
    server.on('connection', () => { this._lastConnectionAtMs = performance.now() })
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this._onClientError(error, socket))
    return server
  }

  private async _serve (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const received = await this._intake.receive(incoming, outgoing)
    if (received === undefined) return
    const { request, body, rejection } = received
    if (rejection !== undefined) {
      this._writeRejection(request, rejection)
      return
    }
    request.startRunning()
    // The listener takes a body that has been read before from this field, which must not be a buffer that can be resized.
    Object.assign(incoming, { rawBody: Buffer.from(body) })
    releaseBytes(body)
    try {
      await this._handle(incoming, outgoing)
    } finally {
      request.finishRunning()
    }
  }

  private _writeRejection (request: ClientRequest, { status, headers }: ListenerResponse): void {
    const body = Buffer.from(JSON.stringify(toErrorBody(toRejectionError(status, this._settings))))
    const requestId = toRequestId(request.incoming.headers['x-request-id'])
    const retryAfter = status === 503 && { 'retry-after': OVERLOAD_RETRY_AFTER_S }
    request.write(status, { ...headers, ...retryAfter, 'x-request-id': requestId, 'content-type': 'application/json', 'content-length': String(body.length) }, body)
  }

  private async _track (context: Context<AppEnv>, next: Next): Promise<void> {
    const { outgoing } = context.env as { outgoing: ServerResponse }
    const record = context.get('record')
    this._inFlight += 1
    this._metrics.gauge('http_in_flight', this._inFlight)
    let timer: NodeJS.Timeout | undefined
    outgoing.once('close', () => {
      clearTimeout(timer)
      this._inFlight -= 1
      this._logAccess(context, record, outgoing)
    })
    await next()
    if (this._peers.isDraining) {
      context.res.headers.set('connection', 'close')
      outgoing.shouldKeepAlive = false
    }
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

  private _onClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    this._metrics.count('http_client_errors', { code: error.code ?? '' })
    // The client would take an error body written here for the response to the request that is still running.
    if (error.code === 'ECONNRESET' || !socket.writable || this._intake.owesResponse(socket)) {
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
