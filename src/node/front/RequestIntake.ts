import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Disposable } from '../../common/kernel/Disposable.js'
import { releaseBytes } from '../../common/kernel/releaseBytes.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import type { CallerLimits } from '../../common/routing/CallerLimits.js'
import { ChunkPacer } from './ChunkPacer.js'
import type { ClientBudget } from './ClientBudget.js'
import { ClientRequest } from './ClientRequest.js'
import { ConnectionTable } from './ConnectionTable.js'
import { createBoundedMessage } from './createBoundedMessage.js'
import type { ListenerName } from './ListenerName.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { ReceivedRequest } from './ReceivedRequest.js'
import type { RejectionLog } from './RejectionLog.js'

/** Interval at which time-outs and incomplete header sections are checked. */
const SWEEP_INTERVAL_MS = 200

/** Receives the requests of a listener within its limits: those of a connection one after the other, with complete bodies. */
export class RequestIntake extends Disposable {
  /** Requests received but not yet fully responded to. */
  readonly pending = new Set<ClientRequest>()
  /** Class of the server's requests, see `attachTo`. */
  readonly messageClass = createBoundedMessage(socket => this._connections.acceptsRequest(socket))
  private readonly _pacer = this._register(new ChunkPacer())
  private readonly _connections: ConnectionTable

  constructor (
    private readonly _name: ListenerName,
    private readonly _budget: ClientBudget,
    private readonly _rejections: RejectionLog,
    private readonly _metrics: IMetrics,
    private readonly _limits: () => CallerLimits
  ) {
    super()
    this._connections = new ConnectionTable(_name, _budget, _rejections, _limits)
    const timer = setInterval(() => this._sweep(), SWEEP_INTERVAL_MS).unref()
    this._register(toDisposable(() => clearInterval(timer)))
  }

  /** Bounds the connections of a server, which must have been created with `messageClass`. */
  attachTo (server: Server): void {
    server.on('connection', (socket: Socket) => this._connections.accept(socket))
    server.on('upgrade', (_request, socket: Socket) => this._connections.rejectFurtherRequests(socket))
  }

  /** Whether the response to a request is due on a connection. */
  owesResponse (socket: Socket): boolean {
    return this._connections.owesResponse(socket)
  }

  /** Responds to what is no request, and closes the connection whether or not the client does. */
  respondAndClose (socket: Socket, response: string): void {
    this._connections.respondAndClose(socket, response)
  }

  /**
   * Receives a request; resolves when those before it on its connection have been responded to, or with undefined if it
   * has been ended before that. Its body is the receiver's to release.
   */
  async receive (incoming: IncomingMessage, outgoing: ServerResponse): Promise<ReceivedRequest | undefined> {
    const { socket } = incoming
    const request = new ClientRequest(this._name, incoming, outgoing, this._budget, this._pacer, reason => this._rejections.record(reason), () => {
      this.pending.delete(request)
      this._connections.onRequestEnded(socket, request)
    })
    this.pending.add(request)
    this._connections.onRequestStarted(socket, request)
    const rejection = request.admit() ?? this._checkHeaders(request)
    const body = rejection ?? await request.readBody(this._limits().maxBodyBytes)
    if (body === 'aborted' || !(await request.waitUntilFirst())) {
      if (body instanceof Uint8Array) releaseBytes(body)
      this._budget.release(request)
      return undefined
    }
    return body instanceof Uint8Array ? { request, body } : { request, rejection: body }
  }

  /** Returns a rejection if the header section or the announced body exceeds a limit. */
  private _checkHeaders (request: ClientRequest): ListenerResponse | undefined {
    const { maxHeaderBytes, maxBodyBytes } = this._limits()
    if (request.headerBytes > maxHeaderBytes) {
      this._rejections.record('header_bytes')
      return { status: 431, headers: { connection: 'close' } }
    }
    if (Number(request.incoming.headers['content-length'] ?? 0) > maxBodyBytes) {
      this._rejections.record('body_bytes')
      return { status: 413, headers: { connection: 'close' } }
    }
    return undefined
  }

  private _sweep (): void {
    const nowMs = performance.now()
    this._connections.sweep(nowMs)
    for (const request of this.pending) request.checkProgress(nowMs, this._limits())
    this._rejections.flush(nowMs)
    this._metrics.gauge('client_connections', this._connections.size, { listener: this._name })
    this._metrics.gauge('client_connections_limit', this._budget.maxConnections(this._name), { listener: this._name })
    this._metrics.gauge('client_memory_bytes', this._budget.usedBytes(this._name), { listener: this._name })
    this._metrics.gauge('client_memory_limit_bytes', this._budget.maxBytes)
  }
}
