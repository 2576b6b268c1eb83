import type { Socket } from 'node:net'
import type { CallerLimits } from '../../common/routing/CallerLimits.js'
import type { ClientBudget } from './ClientBudget.js'
import { ClientConnection } from './ClientConnection.js'
import type { ClientRequest } from './ClientRequest.js'
import { formatEmptyResponse } from './formatEmptyResponse.js'
import type { ListenerName } from './ListenerName.js'
import type { RejectionLog } from './RejectionLog.js'

/** Memory for each byte of an incomplete header section; headers without a value cost the most. */
const INCOMPLETE_HEADER_COST = 4
/** Callers reuse connections that have been idle for up to this share of the idle timeout. */
const REUSE_SHARE = 0.8
/** Time for which a client that still sends may read the response after which its connection is closed. */
const LINGER_MS = 1000
/** Clients that may do so at a time. The system may hold megabytes of what each of them sends, which nothing counts. */
const MAX_LINGERING = 8

/** Connections of a listener, bounded by the descriptors that the budget gives it. */
export class ConnectionTable {
  private readonly _connections = new Map<Socket, ClientConnection>()
  /** Connections that are closed soon, the next one first. */
  private readonly _lingering = new Set<ClientConnection>()
  private readonly _chargedBytes = new WeakMap<ClientConnection, number>()

  constructor (private readonly _listener: ListenerName, private readonly _budget: ClientBudget, private readonly _rejections: RejectionLog, private readonly _limits: () => CallerLimits) {}

  get size (): number {
    return this._connections.size
  }

  /**
   * Takes a new connection. When there are too many, it takes the place of the one whose header section, body or response
   * has made no progress for the longest time, if that is at least the stall time of the budget; else of the one that has
   * been idle for the longest time, if callers no longer reuse it; else of the one with the oldest progress, and else of
   * the one that has been idle for the longest time. Without the last two steps, clients that connect within the stall
   * time, or that send a request now and then, would shut out all others.
   */
  accept (socket: Socket): void {
    if (this._connections.size >= this._budget.maxConnections(this._listener)) {
      this._rejections.record('connections')
      const victim = this._findVictim()
      // All others run requests: closes the new connection.
      if (victim === undefined) {
        socket.destroy()
        return
      }
      this._remove(victim)
      victim.socket.destroy()
    }
    const connection = new ClientConnection(this._listener, socket, () => this._rejections.record('memory'))
    this._connections.set(socket, connection)
    const destroySoon = socket.destroySoon.bind(socket)
    // The runtime calls this after the last response of a connection.
    socket.destroySoon = () => connection.isReceivingBody ? this._closeAfterLinger(connection) : destroySoon()
    socket.once('close', () => this._remove(connection))
  }

  /** Whether the next request on a connection may be received. */
  acceptsRequest (socket: Socket): boolean {
    return this._connections.get(socket)?.acceptsRequest === true
  }

  /** Whether the response to a request is due on a connection. */
  owesResponse (socket: Socket): boolean {
    return this._connections.get(socket)?.owesResponse === true
  }

  /** Closes a connection whose client has sent too many requests ahead; the parser has stopped before the next one. */
  rejectFurtherRequests (socket: Socket): void {
    if (!socket.destroyed) this._rejections.record('requests_ahead')
    socket.destroy()
  }

  onRequestStarted (socket: Socket, request: ClientRequest): void {
    const connection = this._connections.get(socket)
    if (connection === undefined) return
    connection.onRequestStarted(request)
    this._budget.release(connection)
    this._chargedBytes.delete(connection)
  }

  onRequestEnded (socket: Socket, request: ClientRequest): void {
    this._connections.get(socket)?.onRequestEnded(request)
  }

  /** Counts the header sections that are being received, and closes connections whose header section takes too long. */
  sweep (nowMs: number): void {
    for (const connection of this._connections.values()) {
      connection.observe(nowMs)
      if (connection.headerSinceMs === undefined || connection.isClosing) continue
      if (nowMs > connection.headerSinceMs + this._limits().headerTimeoutMs) {
        this._rejections.record('header_timeout')
        connection.isClosing = true
        this._writeAndClose(connection.socket, formatEmptyResponse('408 Request Timeout'))
        continue
      }
      const bytes = connection.headerBytes * INCOMPLETE_HEADER_COST
      const addedBytes = bytes - (this._chargedBytes.get(connection) ?? 0)
      if (addedBytes > 0 && this._budget.add(connection, addedBytes)) this._chargedBytes.set(connection, bytes)
      else if (addedBytes > 0 && !connection.socket.destroyed) connection.shed()
    }
  }

  /** Responds to what is no request, and closes the connection whether or not the client does. */
  respondAndClose (socket: Socket, response: string): void {
    const connection = this._connections.get(socket)
    if (connection === undefined) {
      socket.destroy()
      return
    }
    socket.write(response)
    this._closeAfterLinger(connection)
  }

  /**
   * Closes a connection whose client still sends, whether or not the client does, and reads no more from it. Closing at
   * once would reset the connection, and the client could lose the response.
   */
  private _closeAfterLinger (connection: ClientConnection): void {
    const { socket } = connection
    connection.isClosing = true
    socket.end()
    socket.pause()
    // A body that nobody reads resumes its socket once after its response.
    setImmediate(() => socket.pause())
    const [oldest] = this._lingering
    if (oldest !== undefined && this._lingering.size >= MAX_LINGERING) {
      this._lingering.delete(oldest)
      oldest.socket.destroy()
    }
    this._lingering.add(connection)
    setTimeout(() => socket.destroy(), LINGER_MS).unref()
  }

  /** Closes the connection once the response has been written, or after a short time if the client does not read it. */
  private _writeAndClose (socket: Socket, response: string): void {
    socket.write(response, () => socket.destroy())
    setTimeout(() => socket.destroy(), LINGER_MS).unref()
  }

  private _remove (connection: ClientConnection): void {
    this._connections.delete(connection.socket)
    this._lingering.delete(connection)
    this._budget.release(connection)
    connection.endRequests()
  }

  /** Never a connection whose request may run. */
  private _findVictim (): ClientConnection | undefined {
    const nowMs = performance.now()
    const slowest = this._findOldest(connection => connection.transferProgressMs)
    const idle = this._findOldest(connection => connection.idleSinceMs)
    if (slowest !== undefined && slowest.sinceMs <= nowMs - this._budget.stallMs) return slowest.connection
    const isReused = idle === undefined || idle.sinceMs >= nowMs - REUSE_SHARE * this._limits().idleTimeoutMs
    return (isReused ? slowest ?? idle : idle)?.connection
  }

  private _findOldest (sinceMs: (connection: ClientConnection) => number | undefined): { connection: ClientConnection, sinceMs: number } | undefined {
    let oldest: { connection: ClientConnection, sinceMs: number } | undefined
    for (const connection of this._connections.values()) {
      const candidateMs = sinceMs(connection)
      if (candidateMs !== undefined && candidateMs < (oldest?.sinceMs ?? Infinity)) oldest = { connection, sinceMs: candidateMs }
    }
    return oldest
  }
}
