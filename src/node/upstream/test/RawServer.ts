import { createServer, type AddressInfo, type Socket } from 'node:net'
import { Disposable } from '../../../common/kernel/Disposable.js'
import { toDisposable } from '../../../common/kernel/toDisposable.js'

/** Server on loopback that sends the bytes that a test writes, whether they are a response or not. */
export class RawServer extends Disposable {
  /** All connections so far. */
  readonly sockets: Socket[] = []
  /** `ip:port`, once it listens. */
  address = ''
  private readonly _server = createServer(socket => {
    this.sockets.push(socket)
    socket.on('error', () => undefined)
    socket.on('data', data => this._onRequest(socket, data.toString()))
  })

  /** `_onRequest` is called with each chunk that a client sends. */
  constructor (private readonly _onRequest: (socket: Socket, text: string) => void) {
    super()
    this._register(toDisposable(() => {
      this._server.close()
      for (const socket of this.sockets) socket.destroy()
    }))
  }

  async listen (): Promise<void> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }
}
