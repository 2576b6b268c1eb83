import { connect, createServer, type Socket } from 'node:net'
import { Emitter } from '../../src/common/kernel/Emitter.js'
import { listenTcp } from '../common/listenTcp.js'
import { parseAddress } from '../common/parseAddress.js'
import { consumeFault } from '../common/consumeFault.js'
import type { IProxyRoute } from './IProxyRoute.js'
import { forwardData } from './forwardData.js'
import type { RouteFaults } from './RouteFaults.js'
import { routeFaultsSchema } from './routeFaultsSchema.js'

/** TCP route of the fault proxy. */
export class TcpProxyRoute implements IProxyRoute {
  address = ''
  faults: RouteFaults = routeFaultsSchema.parse({})
  receivedBytes = 0
  private readonly _clients = new Set<Socket>()
  private readonly _faultsChanged = new Emitter<void>()
  private readonly _server = createServer({ noDelay: true, allowHalfOpen: true }, socket => this._accept(socket))

  constructor (public target: string) {}

  async listen (address: string): Promise<void> {
    this.address = await listenTcp(this._server, address)
  }

  async setFaults (faults: RouteFaults): Promise<void> {
    const wasCut = this.faults.cut
    this.faults = faults
    this._faultsChanged.fire()
    if (faults.cut !== wasCut) await this._setListening(!faults.cut)
    for (const client of this._clients) this._applyConnectionFaults(client)
  }

  dispose (): void {
    this._server.close()
    for (const client of this._clients) client.destroy()
  }

  private _applyConnectionFaults (client: Socket): void {
    if (this.faults.reset) client.resetAndDestroy()
    else if (this.faults.cut) client.destroy()
    else if (this.faults.half_close) client.end()
  }

  private async _setListening (isListening: boolean): Promise<void> {
    // `close` stops accepting at once, although it completes only when the open connections have ended.
    if (isListening) await listenTcp(this._server, this.address)
    else this._server.close()
  }

  private _accept (client: Socket): void {
    this._clients.add(client)
    const upstream = connect({ ...parseAddress(this.target), noDelay: true, allowHalfOpen: true })
    client.on('error', () => client.destroy())
    client.on('close', () => {
      this._clients.delete(client)
      upstream.destroy()
    })
    upstream.on('error', () => client.resetAndDestroy())
    this._applyConnectionFaults(client)
    forwardData(client, upstream, this._createForwardOptions(() => this.faults.one_way_cut === 'to_target'))
    forwardData(upstream, client, this._createForwardOptions(() => {
      if (this.faults.one_way_cut === 'to_client') return true
      if (!consumeFault(this.faults, 'drop_answers')) return false
      client.destroy()
      return true
    }))
  }

  private _createForwardOptions (shouldDiscard: () => boolean) {
    const onReceived = (length: number): void => { this.receivedBytes += length }
    return { faults: () => this.faults, onReceived, waitWhileFrozen: async () => await this._waitWhileFrozen(), shouldDiscard }
  }

  private async _waitWhileFrozen (): Promise<void> {
    while (this.faults.freeze) {
      await new Promise<void>(resolve => {
        const subscription = this._faultsChanged.event(() => {
          subscription.dispose()
          resolve()
        })
      })
    }
  }
}
