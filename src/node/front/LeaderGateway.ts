import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { GatewayOptions } from './GatewayOptions.js'
import type { LeaderViewClient } from './LeaderViewClient.js'
import type { ListenerResponse } from './ListenerResponse.js'
import type { ListenerRequest } from './ListenerRequest.js'

/** Present on the response of an entry that is not the leader and has not processed the request. */
const NOT_LEADER_HEADER = 'hyssopvalve-not-leader'
/** Address of the entry that forwards a request. */
const SENDER_HEADER = 'hyssopvalve-entry'
/** Organisation of the caller, authenticated by the entry that forwards its request. */
const ORGANISATION_HEADER = 'hyssopvalve-organisation'
const RETRY_DELAY_MS = 80
/** Time-out of one request to the leader, in addition to the time that the leader may hold it. */
const FORWARD_TIMEOUT_MS = 1500
const NO_LEADER_RETRY_AFTER_S = '0.4'

/**
 * Serves requests that only the leader may process: locally if this entry leads, otherwise by forwarding them.
 * Such requests are idempotent, so they are sent again if the leader does not respond.
 */
export class LeaderGateway {
  constructor (
    private readonly _leadership: ILeadership,
    private readonly _ownAddress: string,
    private readonly _isServing: () => boolean,
    private readonly _client: IUpstreamClient,
    private readonly _leaderViews: LeaderViewClient,
    private readonly _logger: ILogger
  ) {}

  /** Response to an entry that forwarded a request here although this entry is not the leader. */
  static notLeaderResponse (): ListenerResponse {
    return { status: 503, headers: { [NOT_LEADER_HEADER]: '1' } }
  }

  /** Address of the entry that forwarded a request; undefined if the request was not forwarded. */
  static senderAddress (request: ListenerRequest): string | undefined {
    return request.headers[SENDER_HEADER]
  }

  /** A request as its sender has authenticated it. Only for requests from other entries. */
  static fromPeer (request: ListenerRequest): ListenerRequest {
    return { ...request, organisation: request.headers[ORGANISATION_HEADER] }
  }

  /** Responds with 503 if no leader accepted the request in time, or 504 if a write may have been processed. */
  async serve (request: ListenerRequest, options: GatewayOptions, serveLocally: () => Promise<ListenerResponse>): Promise<ListenerResponse> {
    const retryUntilMs = performance.now() + options.retryForMs
    let mayHaveRun = false
    let isFirstAttempt = true
    for (;;) {
      if (this._isServing()) return await serveLocally()
      const address = this._leadership.leaderAddress()
      if (address !== undefined && address !== this._ownAddress && (isFirstAttempt || await this._isReady(address))) {
        isFirstAttempt = false
        const response = await this._forward(request, options, address)
        if (response !== 'not_sent' && response !== 'lost') return response
        mayHaveRun ||= response === 'lost'
      }
      if (performance.now() + RETRY_DELAY_MS > retryUntilMs || request.signal.aborted) break
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
    this._logger.warn({ request: options.requestId, target: request.target, leader: this._leadership.leaderAddress(), may_have_run: mayHaveRun }, 'leader_not_reached')
    return mayHaveRun && request.method !== 'GET' ? { status: 504 } : { status: 503, headers: { 'retry-after': NO_LEADER_RETRY_AFTER_S } }
  }

  /** Bodies are large, so before one is sent again a query checks that the leader is ready. */
  private async _isReady (address: string): Promise<boolean> {
    const view = await this._leaderViews.fetch(address)
    // An entry that cannot read the store learns of a new leader from the previous one.
    if (view?.epoch !== undefined && view.address !== undefined) this._leadership.observeLeader(view.epoch, view.address)
    return view?.isServing === true
  }

  /** `not_sent`: the request has not been processed. `lost`: it may have been. */
  private async _forward (request: ListenerRequest, options: GatewayOptions, address: string): Promise<ListenerResponse | 'not_sent' | 'lost'> {
    // A caller must not choose its organisation by sending the header of the hop.
    const { [ORGANISATION_HEADER]: _claimed, ...headers } = request.headers
    if (request.organisation !== undefined) headers[ORGANISATION_HEADER] = request.organisation
    const result = await this._client.call(address, {
      requestId: options.requestId,
      method: request.method,
      path: request.target,
      headers: { ...headers, [SENDER_HEADER]: this._ownAddress },
      body: request.body.length > 0 ? request.body : undefined,
      deadlineAtMs: performance.now() + options.leaderHoldMs + FORWARD_TIMEOUT_MS
    }, request.signal)
    if (result.isErr()) {
      this._logger.warn({ request: options.requestId, leader: address, reason: result.error.message, sent: result.error.sent }, 'leader_hop_failed')
      return result.error.sent ? 'lost' : 'not_sent'
    }
    const { status, body } = result.value
    if (result.value.headers[NOT_LEADER_HEADER] !== undefined) return 'not_sent'
    const { 'content-length': _length, ...responseHeaders } = result.value.headers
    return { status, headers: responseHeaders, body }
  }
}
