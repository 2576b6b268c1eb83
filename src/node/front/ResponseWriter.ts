import type { IMetrics } from '../../common/metrics/IMetrics.js'
import type { ClientBudget } from './ClientBudget.js'
import type { ClientRequest } from './ClientRequest.js'
import type { ListenerName } from './ListenerName.js'
import type { ListenerResponse } from './ListenerResponse.js'

/** Writes the responses of a listener, and returns the memory of their requests to the budget when they end. */
export class ResponseWriter {
  private _closesConnections = false

  constructor (private readonly _listener: ListenerName, private readonly _budget: ClientBudget, private readonly _metrics: IMetrics) {}

  /** Adds `connection: close` to all further responses. */
  disableKeepAlive (): void {
    this._closesConnections = true
  }

  /** Writes a response unless one was written before; undefined closes the connection without one. */
  write (request: ClientRequest, response: ListenerResponse | undefined): void {
    const { incoming, outgoing } = request
    if (request.isEnded || outgoing.destroyed || outgoing.headersSent || response === undefined) {
      if (!outgoing.headersSent) outgoing.destroy()
      this._budget.release(request)
      return
    }
    const body = typeof response.body === 'string' ? Buffer.from(response.body) : response.body
    const headers: Record<string, string> = { ...response.headers }
    if (this._closesConnections) headers['connection'] = 'close'
    const hasNoBody = incoming.method === 'HEAD' || response.status === 204 || response.status === 304
    if (!hasNoBody) headers['content-length'] = String(body?.length ?? 0)
    this._metrics.count('http_answers', { listener: this._listener, status: String(response.status) })
    request.write(response.status, headers, hasNoBody ? undefined : body)
  }
}
