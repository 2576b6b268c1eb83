import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { LeaderViewClient } from './LeaderViewClient.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { ListenerRequest } from './ListenerRequest.js'

/** Marks an answer of an entry that does not lead; nothing was done. */
const NOT_LEADER_HEADER = 'hyssopvalve-not-leader'
/** Address of the entry that sends a request on. */
const SENDER_HEADER = 'hyssopvalve-entry'
const RETRY_PAUSE_MS = 80
/** One request to the leader is given up after this time beyond the wait that the caller asked for. */
const HOP_TIMEOUT_MS = 1500
const REFUSED_RETRY_AFTER_S = '0.4'

interface GatewayOptions {
  requestId: string
  /** For how long the request is kept while there is no leader. */
  retryForMs: number
  /** Time that the leader may hold the request itself. */
  leaderHoldMs: number
}

/**
 * Serves a request at the leader, here or at another entry. Such requests are idempotent, so they are sent
 * again when a leader does not answer.
 */
export class LeaderGateway {
  constructor (
    private readonly _leadership: ILeadership,
    private readonly _ownAddress: string,
    private readonly _isServing: () => boolean,
    private readonly _client: IUpstreamClient,
    private readonly _views: LeaderViewClient,
    private readonly _logger: ILogger
  ) {}

  /** The answer of an entry that does not lead to another that took it for the leader. */
  static notLeaderResponse (): ListenerResponse {
    return { status: 503, headers: { [NOT_LEADER_HEADER]: '1' } }
  }

  /** Address of the entry that sent a request on, if it was sent on. */
  static senderAddress (request: ListenerRequest): string | undefined {
    return request.headers[SENDER_HEADER]
  }

  async serve (request: ListenerRequest, options: GatewayOptions, local: () => Promise<ListenerResponse>): Promise<ListenerResponse> {
    const untilMs = performance.now() + options.retryForMs
    let mayHaveRun = false
    let isFirst = true
    for (;;) {
      if (this._isServing()) return await local()
      const address = this._leadership.leaderAddress()
      if (address !== undefined && address !== this._ownAddress && (isFirst || await this._isReady(address))) {
        isFirst = false
        const answer = await this._forward(request, options, address)
        if (answer !== 'not_sent' && answer !== 'lost') return answer
        mayHaveRun ||= answer === 'lost'
      }
      if (performance.now() + RETRY_PAUSE_MS > untilMs || request.signal.aborted) break
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS))
    }
    this._logger.warn({ request: options.requestId, target: request.target, leader: this._leadership.leaderAddress(), may_have_run: mayHaveRun }, 'leader_not_reached')
    return mayHaveRun && request.method !== 'GET' ? { status: 504 } : { status: 503, headers: { 'retry-after': REFUSED_RETRY_AFTER_S } }
  }

  /** Bodies are large, so that a leader that is not ready is asked before it gets one again. */
  private async _isReady (address: string): Promise<boolean> {
    const view = await this._views.fetch(address)
    // An entry that the store turns away hears of a new leader from the one before.
    if (view?.epoch !== undefined && view.address !== undefined) this._leadership.observeLeader(view.epoch, view.address)
    return view?.isServing === true
  }

  private async _forward (request: ListenerRequest, options: GatewayOptions, address: string): Promise<ListenerResponse | 'not_sent' | 'lost'> {
    const result = await this._client.call(address, {
      requestId: options.requestId,
      method: request.method,
      path: request.target,
      headers: { ...request.headers, [SENDER_HEADER]: this._ownAddress },
      body: request.body.length > 0 ? request.body : undefined,
      deadlineAtMs: performance.now() + options.leaderHoldMs + HOP_TIMEOUT_MS
    }, request.signal)
    if (result.isErr()) {
      this._logger.warn({ request: options.requestId, leader: address, reason: result.error.message, sent: result.error.sent }, 'leader_hop_failed')
      return result.error.sent ? 'lost' : 'not_sent'
    }
    const { status, headers, body } = result.value
    if (headers[NOT_LEADER_HEADER] !== undefined) return 'not_sent'
    delete headers['content-length']
    return { status, headers, body }
  }
}
