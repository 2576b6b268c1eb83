import type { Socket } from 'node:net'
import type { ClientRequest } from './ClientRequest.js'
import type { IBudgetHolder } from './IBudgetHolder.js'
import type { ListenerName } from './ListenerName.js'

/**
 * Requests that a client may send before the responses to earlier ones on its connection. One read of the parser holds
 * thousands of short requests, each of which costs far more memory than its bytes while it waits.
 */
const MAX_REQUESTS_AHEAD = 8

/**
 * A connection of a client. Its requests run one at a time, in order. It holds memory itself while it receives a header
 * section, which has no request yet.
 */
export class ClientConnection implements IBudgetHolder {
  lastProgressMs = performance.now()
  /** `performance.now()` since when a header section is expected or received; undefined while a request runs or the connection is idle. */
  headerSinceMs: number | undefined = performance.now()
  /** The last response has been sent; the client may still read it. */
  isClosing = false
  /** In the order of their responses. */
  readonly requests = new Set<ClientRequest>()
  private _bytesBeforeHeader = 0
  private _bytesRead = 0

  constructor (readonly listener: ListenerName, readonly socket: Socket, private readonly _onShed: () => void) {}

  get isSheddable (): boolean {
    return this.requests.size === 0
  }

  /** Whether the next request may be received. */
  get acceptsRequest (): boolean {
    return !this.socket.destroyed && this.requests.size <= MAX_REQUESTS_AHEAD
  }

  /** Whether the client has not yet sent the whole body of a request. */
  get isReceivingBody (): boolean {
    return [...this.requests].some(({ incoming }) => !incoming.complete)
  }

  /** Whether the client would take other bytes for the response to a request. */
  get owesResponse (): boolean {
    return [...this.requests].some(({ incoming, outgoing }) => incoming.complete || outgoing.headersSent)
  }

  /** Bytes received of a header section. */
  get headerBytes (): number {
    return this.headerSinceMs === undefined ? 0 : this._bytesRead - this._bytesBeforeHeader
  }

  /**
   * `performance.now()` of the last progress of its header section, body or response; 0 if it is closing, undefined if a
   * request may run or it is idle.
   */
  get transferProgressMs (): number | undefined {
    if (this.isClosing) return 0
    if (this.requests.size === 0) return this.headerSinceMs === undefined ? undefined : this.lastProgressMs
    let progressMs = 0
    for (const request of this.requests) {
      if (!request.isSheddable) return undefined
      progressMs = Math.max(progressMs, request.lastProgressMs)
    }
    return progressMs
  }

  /** `performance.now()` since when the connection waits for a next request; undefined if it does not. */
  get idleSinceMs (): number | undefined {
    return this.requests.size === 0 && this.headerSinceMs === undefined ? this.lastProgressMs : undefined
  }

  onRequestStarted (request: ClientRequest): void {
    this.requests.add(request)
    this.headerSinceMs = undefined
    if (this.requests.size === 1) request.becomeFirst()
  }

  onRequestEnded (request: ClientRequest): void {
    this.requests.delete(request)
    this.lastProgressMs = performance.now()
    this._bytesRead = this._bytesBeforeHeader = this.socket.bytesRead
    const [next] = this.requests
    if (!request.isLast) next?.becomeFirst()
  }

  /** Ends all requests of the closed connection. The runtime closes only the response that is being written. */
  endRequests (): void {
    for (const request of [...this.requests].reverse()) request.end()
  }

  /** Looks at the bytes received. Those on an idle connection belong to a header section, or are empty lines before one. */
  observe (nowMs: number): void {
    if (this.requests.size > 0) return
    const { bytesRead } = this.socket
    if (bytesRead === this._bytesRead) return
    this._bytesRead = bytesRead
    this.lastProgressMs = nowMs
    this.headerSinceMs ??= nowMs
  }

  shed (): void {
    this._onShed()
    this.socket.destroy()
  }
}
