import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import { Code, ConnectError, type ConnectRouter, type Interceptor } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import { Disposable } from '../../common/kernel/Disposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { PeerService } from '../../gen/peer_pb.js'
import { isPeerTokenValid } from './isPeerTokenValid.js'
import { listenAt } from './listenAt.js'

// Peer requests have no fields, so anything larger does not come from a peer.
const MAX_REQUEST_BYTES = 4096

/** Connect RPC server that other entries call, over HTTP/2 without TLS. */
export class PeerServer extends Disposable {
  private readonly _server: Http2Server
  private readonly _sessions = new Set<ServerHttp2Session>()

  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @contractStoreId private readonly _contracts: IContractStore,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    this._server = createServer(connectNodeAdapter({
      routes: router => this._route(router),
      interceptors: [this._authenticate()],
      readMaxBytes: MAX_REQUEST_BYTES
    }))
    this._server.on('session', session => {
      this._sessions.add(session)
      session.on('error', () => {})
      session.on('close', () => this._sessions.delete(session))
    })
    this._register(toDisposable(() => {
      this._server.close()
      for (const session of this._sessions) session.destroy()
    }))
  }

  /** Starts listening and returns the `ip:port`; rejects when the address is in use. */
  async start (): Promise<string> {
    const boundAddress = await listenAt(this._server, this._settings.rpcAddress)
    this._server.on('error', error => this._logger.warn({ reason: error.message }, 'peer_server_error'))
    return boundAddress
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
