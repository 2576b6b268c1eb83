import { createServer, type Http2Server } from 'node:http2'
import type { Socket } from 'node:net'
import { Code, ConnectError, type ConnectRouter, type Interceptor } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { PeerService } from '../../gen/peer_pb.js'
import { isPeerTokenValid } from './isPeerTokenValid.js'
import { listenAt } from './listenAt.js'

// Peer requests have no fields, so anything larger does not come from a peer.
const MAX_REQUEST_BYTES = 4096
/** An entry makes one call on each connection. */
const MAX_STREAMS = 4
const WINDOW_BYTES = 16_384
/** The smallest limit of the runtime. */
const MAX_SESSION_MEMORY_MB = 1
/** Part of the connections of the entry that its peers may use. */
const CONNECTION_SHARE = 0.25
const MIN_CONNECTIONS = 8
/** A call takes less; its connection is closed after it. */
const IDLE_TIMEOUT_MS = 10_000

/** Connect RPC server that other entries call, over HTTP/2 without TLS. */
export class PeerServer extends Disposable {
  private readonly _server: Http2Server
  /** In the order of their connection. */
  private readonly _sockets = new Set<Socket>()

  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @contractStoreId private readonly _contracts: IContractStore,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    const options = { maxSessionMemory: MAX_SESSION_MEMORY_MB, settings: { maxConcurrentStreams: MAX_STREAMS, initialWindowSize: WINDOW_BYTES } }
    this._server = createServer(options, connectNodeAdapter({
      routes: router => this._route(router),
      interceptors: [this._authenticate()],
      readMaxBytes: MAX_REQUEST_BYTES
    }))
    this._server.setTimeout(IDLE_TIMEOUT_MS)
    this._server.on('connection', (socket: Socket) => this._accept(socket))
    this._server.on('session', session => session.on('error', () => {}))
    this._register(toDisposable(() => {
      this._server.close()
      for (const socket of this._sockets) socket.destroy()
    }))
  }

  /** Starts listening and returns the `ip:port`; rejects when the address is in use. */
  async start (): Promise<string> {
    const boundAddress = await listenAt(this._server, this._settings.rpcAddress)
    this._server.on('error', error => this._logger.warn({ reason: error.message }, 'peer_server_error'))
    return boundAddress
  }

  /** Over the limit, closes the oldest connection: calls are short, so it is most likely of a client that is no entry. */
  private _accept (socket: Socket): void {
    const maxConnections = Math.max(MIN_CONNECTIONS, Math.floor(this._settings.maxConnections * CONNECTION_SHARE))
    const [oldest] = this._sockets
    if (this._sockets.size >= maxConnections && oldest !== undefined) {
      this._metrics.count('client_rejections', { listener: 'rpc', reason: 'connections' })
      this._sockets.delete(oldest)
      oldest.destroy()
    }
    this._sockets.add(socket)
    socket.once('close', () => this._sockets.delete(socket))
  }

  private _route (router: ConnectRouter): void {
    router.service(PeerService, {
      getContracts: () => ({
        revisions: this._contracts.all().map(({ organisation, revision, operator, atMs, text }) => (
          { organisation, revision: BigInt(revision), operator, atMs: BigInt(Math.round(atMs)), text }
        ))
      })
    })
  }

  private _authenticate (): Interceptor {
    return next => async request => {
      if (!isPeerTokenValid(this._settings.peerKey, request.method.name, request.header.get('authorization'), Date.now())) {
        throw new ConnectError('invalid authentication', Code.Unauthenticated)
      }
      return await next(request)
    }
  }
}
