import { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Creates the class of a server's requests, with which its parser stops at a request that may not be received. The parser
 * creates a request for each header section in what it has read, also after its connection has been closed; it stops
 * only at an upgrade, and the server then emits `upgrade`. No other request is upgraded: the header has no effect.
 */
export function createBoundedMessage (mayReceive: (socket: Socket) => boolean): typeof IncomingMessage {
  return class BoundedMessage extends IncomingMessage {
    private _isUpgrade?: boolean

    get upgrade (): boolean {
      return this._isUpgrade === true
    }

    /** Set by the server when it has the header section, before it counts as received. */
    set upgrade (isUpgrade: boolean) {
      this._isUpgrade = (isUpgrade && this.method === 'CONNECT') || !mayReceive(this.socket)
    }
  }
}
