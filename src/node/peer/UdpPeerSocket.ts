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

// The peer table forgets silent entries after the same time.
const FORGET_TIMEOUTS = 10

/** The UDP socket of the gossip. */
export class UdpPeerSocket extends Disposable implements IPeerSocket {
  private readonly _onGossip = this._register(new Emitter<{ message: Gossip, address: string }>())
  private readonly _guard: ReplayGuard
  private readonly _socket: Socket
  private _isClosed = false
  readonly onGossip = this._onGossip.event

  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @metricsId private readonly _metrics: IMetrics,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    this._guard = new ReplayGuard(_settings.heartbeatTimeoutMs * FORGET_TIMEOUTS)
    const type = parseAddress(_settings.peerAddress).host.includes(':') ? 'udp6' : 'udp4'
    this._socket = createSocket(type)
    this._register(toDisposable(() => {
      this._isClosed = true
      this._socket.close()
    }))
  }

  /** Binds the socket and returns its `ip:port`; rejects when the address is taken. */
  async start (): Promise<string> {
    const { host, port } = parseAddress(this._settings.peerAddress)
    this._socket.bind(port, host)
    await once(this._socket, 'listening')
    this._socket.on('error', error => this._logger.warn({ reason: error.message }, 'peer_socket_error'))
    this._socket.on('message', (datagram, remote) => this._receive(datagram, remote))
    const bound = this._socket.address()
    return formatAddress(bound.address, bound.port)
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
      // A listed address that is no IP number or has no valid port.
      this._metrics.count('gossip_send_errors')
    }
  }

  private _receive (datagram: Buffer, remote: RemoteInfo): void {
    const opened = verifyDatagram(datagram, this._settings.peerKey)
    if (opened.isErr()) {
      this._metrics.count('gossip_dropped', { reason: opened.error })
      return
    }
    const message = opened.value
    if (!this._guard.accept(message.sender, message.incarnation, message.sequence)) {
      this._metrics.count('gossip_dropped', { reason: 'repeated' })
      return
    }
    this._metrics.count('gossip_received')
    this._onGossip.fire({ message, address: formatAddress(remote.address, remote.port) })
  }
}
