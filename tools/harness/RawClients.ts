import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../../src/common/kernel/Disposable.js'
import { toDisposable } from '../../src/common/kernel/toDisposable.js'

/** Longest wait for a connection, or for the system to accept bytes that the process does not read. */
const STALL_MS = 5000

/** Clients on raw connections, which need not keep to HTTP. Connections stay open until `dispose`. */
export class RawClients extends Disposable {
  readonly sockets: Socket[] = []

  constructor (private readonly _address: string) {
    super()
    this._register(toDisposable(() => {
      for (const socket of this.sockets) socket.destroy()
    }))
  }

  /** Connections that the process has not closed. */
  get openCount (): number {
    return this.sockets.filter(socket => !socket.destroyed).length
  }

  /** Opens a connection; resolves also if it is refused. */
  async open (): Promise<Socket> {
    const [host, port] = this._address.split(':')
    const socket = connect({ port: Number(port), host })
    this.sockets.push(socket)
    socket.on('error', () => {})
    const waiting = new AbortController()
    await Promise.race([once(socket, 'connect', { signal: waiting.signal }), once(socket, 'close', { signal: waiting.signal }), sleep(STALL_MS, undefined, { signal: waiting.signal })]).catch(() => {})
    waiting.abort()
    return socket
  }

  /** Opens a connection that reads no byte. */
  async openUnread (): Promise<Socket> {
    const socket = await this.open()
    socket.pause()
    return socket
  }

  /** Sends the parts in order, as fast as the process reads them, and keeps the connection open. */
  async send (socket: Socket, parts: Iterable<string | Buffer>): Promise<void> {
    for (const part of parts) {
      if (socket.destroyed) return
      if (socket.write(part)) continue
      const waiting = new AbortController()
      await Promise.race([once(socket, 'drain', { signal: waiting.signal }), once(socket, 'close', { signal: waiting.signal }), sleep(STALL_MS, undefined, { signal: waiting.signal })]).catch(() => {})
      waiting.abort()
    }
  }

  /** Opens `count` connections at once, each of which sends the parts. */
  async sendAll (count: number, createParts: () => Iterable<string | Buffer>): Promise<void> {
    await Promise.all(Array.from({ length: count }, async () => await this.send(await this.openRead(), createParts())))
  }

  /** As `sendAll`, on connections that read no byte. */
  async sendAllUnread (count: number, createParts: () => Iterable<string | Buffer>): Promise<void> {
    await Promise.all(Array.from({ length: count }, async () => await this.send(await this.openUnread(), createParts())))
  }

  private async openRead (): Promise<Socket> {
    const socket = await this.open()
    socket.resume()
    return socket
  }
}
