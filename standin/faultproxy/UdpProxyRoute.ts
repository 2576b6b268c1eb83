import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { parseAddress } from '../common/parseAddress.js'
import type { IProxyRoute } from './IProxyRoute.js'
import type { RouteFaults } from './RouteFaults.js'
import { routeFaultsSchema } from './routeFaultsSchema.js'

/** UDP route of the fault proxy. Forwards datagrams in one direction only. */
export class UdpProxyRoute implements IProxyRoute {
  address = ''
  faults: RouteFaults = routeFaultsSchema.parse({})
  receivedBytes = 0
  private readonly _socket = createSocket('udp4')
  private _datagramCount = 0

  constructor (public target: string) {
    this._socket.on('message', data => this._forward(data))
    // A send to an unreachable target may raise an error, which must not end the proxy.
    this._socket.on('error', () => {})
  }

  async listen (address: string): Promise<void> {
    const { host, port } = parseAddress(address)
    this._socket.bind(port, host)
    await once(this._socket, 'listening')
    this.address = `${host}:${this._socket.address().port}`
  }

  async setFaults (faults: RouteFaults): Promise<void> {
    this.faults = faults
  }

  dispose (): void {
    this._socket.close()
  }

  private _forward (data: Buffer): void {
    const { lose_every: loseEvery, cut, freeze, reset, delay_ms: delayMs } = this.faults
    this._datagramCount++
    this.receivedBytes += data.length
    if (cut || freeze || reset || (loseEvery > 0 && this._datagramCount % loseEvery === 0)) return
    const { host, port } = parseAddress(this.target)
    const send = () => this._socket.send(data, port, host)
    if (delayMs > 0) setTimeout(send, delayMs)
    else send()
  }
}
