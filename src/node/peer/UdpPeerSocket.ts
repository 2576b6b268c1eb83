import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { once } from 'node:events'
import type { Gossip } from '../../gen/peer_pb.js'
import { Disposable } from '../../common/kernel/Disposable.js'
import { Emitter } from '../../common/kernel/Emitter.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IMetrics } from '../../common/metrics/IMetrics.js'
import { loggerId } from '../../common/metrics/loggerId.js'
import { metricsId } from '../../common/metrics/metricsId.js'
import type { IPeerSocket } from '../../common/peer/IPeerSocket.js'
import { ReplayGuard } from '../../common/peer/ReplayGuard.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import { formatAddress } from './formatAddress.js'
import { verifyDatagram } from './verifyDatagram.js'
import { parseAddress } from './parseAddress.js'
import { signDatagram } from './signDatagram.js'

// Retention of replay state in heartbeat timeouts, as long as the peer table keeps the heartbeats of a silent entry.
const RETENTION_TIMEOUTS = 10

/** UDP socket for gossip: authenticates datagrams with the shared key and drops replayed ones. */
export class UdpPeerSocket extends Disposable implements IPeerSocket {
  private readonly _onGossip = this._register(new Emitter<{ message: Gossip, address: string }>())
  private readonly _replayGuard: ReplayGuard
  private readonly _socket: Socket
  private _isClosed = false
  readonly onGossip = this._onGossip.event

  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @metricsId private readonly _metrics: IMetrics,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    this._replayGuard = new ReplayGuard(_settings.heartbeatTimeoutMs * RETENTION_TIMEOUTS)
    const type = parseAddress(_settings.peerAddress).host.includes(':') ? 'udp6' : 'udp4'
    this._socket = createSocket(type)
    this._register(toDisposable(() => {
      this._isClosed = true
      this._socket.close()
    }))
  }

  /** Binds the socket and returns its `ip:port`; rejects when the address is in use. */
  async start (): Promise<string> {
    const { host, port } = parseAddress(this._settings.peerAddress)
    this._socket.bind(port, host)
    await once(this._socket, 'listening')
    this._socket.on('error', error => this._logger.warn({ reason: error.message }, 'peer_socket_error'))
    this._socket.on('message', (datagram, remote) => this._receive(datagram, remote))
    const boundAddress = this._socket.address()
    return formatAddress(boundAddress.address, boundAddress.port)
  }

  send (address: string, payload: Uint8Array): void {
    if (this._isClosed) return
    const { host, port } = parseAddress(address)
    try {
      this._socket.send(signDatagram(payload, this._settings.peerKey), port, host, error => {
        if (error !== null) this._metrics.count('gossip_send_errors')
      })
      this._metrics.count('gossip_sent')
    } catch {
      // The address from the membership list is not an IP address or has an invalid port.
      this._metrics.count('gossip_send_errors')
    }
  }

  private _receive (datagram: Buffer, remote: RemoteInfo): void {
    const verified = verifyDatagram(datagram, this._settings.peerKey)
    if (verified.isErr()) {
      this._metrics.count('gossip_dropped', { reason: verified.error })
      return
    }
    const message = verified.value
    if (!this._replayGuard.accept(message.sender, message.incarnation, message.sequence)) {
      this._metrics.count('gossip_dropped', { reason: 'repeated' })
      return
    }
    this._metrics.count('gossip_received')
    this._onGossip.fire({ message, address: formatAddress(remote.address, remote.port) })
  }
}
