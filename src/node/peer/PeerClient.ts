import { ConnectError, createClient, type Interceptor } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { ResultAsync } from 'neverthrow'
import type { ContractRevision } from '../../common/contract/ContractRevision.js'
import type { IPeerClient } from '../../common/peer/IPeerClient.js'
import type { PeerError } from '../../common/peer/PeerError.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { PeerService } from '../../gen/peer_pb.js'
import { createPeerToken } from './createPeerToken.js'

type OfferedRevision = Omit<ContractRevision, 'contract'>

const MAX_RESPONSE_BYTES = 67_108_864

/** Connect RPC client for other entries. Calls are rare, so each opens its own connection. */
export class PeerClient implements IPeerClient {
  constructor (@entrySettingsId private readonly _settings: EntrySettings) {}

  getContracts (address: string, timeoutMs: number): ResultAsync<OfferedRevision[], PeerError> {
    return ResultAsync.fromPromise(this._getContracts(address, timeoutMs), toPeerError)
  }

  private async _getContracts (address: string, timeoutMs: number): Promise<OfferedRevision[]> {
    const baseUrl = `http://${address}`
    const sessionManager = new Http2SessionManager(baseUrl)
    try {
      const transport = createConnectTransport({
        baseUrl, httpVersion: '2', sessionManager, interceptors: [this._authenticate()], readMaxBytes: MAX_RESPONSE_BYTES
      })
      const response = await createClient(PeerService, transport).getContracts({}, { timeoutMs })
      return response.revisions.map(({ organisation, revision, operator, atMs, text }) => (
        { organisation, revision: Number(revision), operator, atMs: Number(atMs), text }
      ))
    } finally {
      sessionManager.abort()
    }
  }

  private _authenticate (): Interceptor {
    return next => async request => {
      request.header.set('authorization', createPeerToken(this._settings.peerKey, request.method.name, Date.now()))
      return await next(request)
    }
  }
}

function toPeerError (error: unknown): PeerError {
  return { kind: 'peer_unavailable', message: ConnectError.from(error).message }
}
