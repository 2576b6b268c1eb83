import type { ILogger } from '../../common/metrics/ILogger.js'
import { sendAllowanceMs } from '../../common/link/sendAllowanceMs.js'
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
/** Time-out of one request to the leader, in addition to the time to send its body and the time that the leader may hold it. */
const FORWARD_TIMEOUT_MS = 1500
/** The same for requests that can be served without the leader. Longer than the leader loads texts for a read. */
const READ_FORWARD_TIMEOUT_MS = 1100
/** A request is served without the leader when there has been none for this time. Many takeovers are over by then. */
const LEADERLESS_READ_DELAY_MS = 600
/** Time after a failed query during which the leader counts as unreachable. */
const LEADER_QUERY_RETRY_MS = 300
const LEADERLESS_READ_INTERVAL_MS = 300
const NO_LEADER_RETRY_AFTER_S = '0.4'

type LeaderOutcome = ListenerResponse | ForwardFailure | 'no_leader'

/**
 * `not_serving`: the entry asked responds, but does not serve as the leader. `unreachable`: the request could not be
 * sent. Neither has been processed. `lost`: sent without a response, so it may have been.
 */
type ForwardFailure = 'not_serving' | 'unreachable' | 'lost'

/**
 * Serves requests that only the leader may process: locally if this entry leads, otherwise by forwarding them.
 * Such requests are idempotent, so they are sent again if the leader does not respond.
 */
export class LeaderGateway {
  /** Address of a leader whose last request failed; it is queried before it gets the next one. */
  private _queryFirstAddress?: string
  /** The last query without a response. */
  private _failedQuery?: { address: string, untilMs: number }

  /** `canObserveLeader` tells whether this entry would learn of a new leader. */
  constructor (
    private readonly _leadership: ILeadership,
    private readonly _ownAddress: string,
    private readonly _isServing: () => boolean,
    private readonly _client: IUpstreamClient,
    private readonly _leaderViews: LeaderViewClient,
    private readonly _logger: ILogger,
    private readonly _canObserveLeader: () => boolean = () => true
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

  /**
   * Responds with 503 if no leader accepted the request in time, or 504 if a write may have been processed. Without a
   * leader, and without the means to learn of a new one, it responds at once.
   */
  async serve (request: ListenerRequest, options: GatewayOptions, serveLocally: () => Promise<ListenerResponse>): Promise<ListenerResponse> {
    const startedAtMs = performance.now()
    const serveWithoutLeader = spaceOut(options.serveWithoutLeader)
    let mayHaveRun = false
    let isFirstAttempt = true
    for (;;) {
      const outcome: LeaderOutcome = this._isServing() ? await serveLocally() : await this._tryLeader(request, options, isFirstAttempt)
      isFirstAttempt &&= outcome === 'no_leader'
      mayHaveRun ||= outcome === 'lost'
      const response = await respond(outcome, serveWithoutLeader, performance.now() - startedAtMs)
      // 503 promises that the request has not been processed, which holds for the last attempt only.
      if (response !== undefined) return mayHaveRun && request.method !== 'GET' && response.status === 503 ? { status: 504 } : response
      if (this._shouldGiveUp(request, options, outcome, startedAtMs)) break
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
    this._logger.warn({ request: options.requestId, target: request.target, leader: this._leadership.leaderAddress(), may_have_run: mayHaveRun, duration_ms: Math.round(performance.now() - startedAtMs) }, 'leader_not_reached')
    return mayHaveRun && request.method !== 'GET' ? { status: 504 } : { status: 503, headers: { 'retry-after': NO_LEADER_RETRY_AFTER_S } }
  }

  private _shouldGiveUp (request: ListenerRequest, options: GatewayOptions, outcome: LeaderOutcome, startedAtMs: number): boolean {
    if (request.signal.aborted) return true
    // An entry that responds, although it does not lead, may know the leader.
    if (outcome !== 'not_serving' && !this._canObserveLeader()) return true
    return performance.now() - startedAtMs + RETRY_DELAY_MS > options.retryForMs
  }

  /** Forwards a request if there is a leader to which it may be sent. */
  private async _tryLeader (request: ListenerRequest, options: GatewayOptions, isFirstAttempt: boolean): Promise<LeaderOutcome> {
    const address = this._leadership.leaderAddress()
    if (address === undefined || address === this._ownAddress) return 'no_leader'
    const isUnresponsive = this._queryFirstAddress === address
    if (isFirstAttempt && !isUnresponsive) return await this._forward(request, options, address)
    const readiness = await this._checkReady(address)
    if (readiness === 'serving') return await this._forward(request, options, address)
    return readiness === 'unreachable' ? 'unreachable' : 'not_serving'
  }

  /** Bodies are large, so before one is sent again a query checks that the leader is ready. */
  private async _checkReady (address: string): Promise<'serving' | 'not_serving' | 'unreachable'> {
    if (this._failedQuery?.address === address && performance.now() < this._failedQuery.untilMs) return 'unreachable'
    const view = await this._leaderViews.fetch(address)
    this._failedQuery = view === undefined ? { address, untilMs: performance.now() + LEADER_QUERY_RETRY_MS } : undefined
    if (view === undefined) return 'unreachable'
    // An entry that cannot read the store learns of a new leader from the previous one.
    if (view.epoch !== undefined && view.address !== undefined) this._leadership.observeLeader(view.epoch, view.address)
    return view.isServing ? 'serving' : 'not_serving'
  }

  private async _forward (request: ListenerRequest, options: GatewayOptions, address: string): Promise<ListenerResponse | ForwardFailure> {
    const timeoutMs = options.serveWithoutLeader === undefined ? FORWARD_TIMEOUT_MS : READ_FORWARD_TIMEOUT_MS
    // A caller must not choose its organisation by sending the header of the hop.
    const { [ORGANISATION_HEADER]: _claimed, ...headers } = request.headers
    if (request.organisation !== undefined) headers[ORGANISATION_HEADER] = request.organisation
    const result = await this._client.call(address, {
      requestId: options.requestId,
      method: request.method,
      path: request.target,
      headers: { ...headers, [SENDER_HEADER]: this._ownAddress },
      body: request.body.length > 0 ? request.body : undefined,
      deadlineAtMs: performance.now() + options.leaderHoldMs + timeoutMs + sendAllowanceMs(request.body.length)
    }, request.signal)
    if (result.isErr()) {
      this._logger.warn({ request: options.requestId, leader: address, reason: result.error.message, sent: result.error.sent }, 'leader_hop_failed')
      // A caller that leaves says nothing about the leader.
      if (result.error.kind !== 'cancelled') this._queryFirstAddress = address
      return result.error.sent ? 'lost' : 'unreachable'
    }
    this._queryFirstAddress = undefined
    const { status, body } = result.value
    if (result.value.headers[NOT_LEADER_HEADER] !== undefined) return 'not_serving'
    const { 'content-length': _length, ...responseHeaders } = result.value.headers
    return { status, headers: responseHeaders, body }
  }
}

/** The response to the caller, unless the request has to be tried again. */
async function respond (outcome: LeaderOutcome, serveWithoutLeader: GatewayOptions['serveWithoutLeader'], elapsedMs: number): Promise<ListenerResponse | undefined> {
  const leaderResponse = typeof outcome === 'string' ? undefined : outcome
  if (leaderResponse !== undefined && leaderResponse.status !== 503) return leaderResponse
  // The leader may be known or ready soon.
  if ((outcome === 'no_leader' || outcome === 'not_serving') && elapsedMs < LEADERLESS_READ_DELAY_MS) return undefined
  return await serveWithoutLeader?.() ?? leaderResponse
}

/** Each attempt reads up to several megabytes from the store, so an attempt that failed is not repeated at once. */
function spaceOut (serve: GatewayOptions['serveWithoutLeader']): GatewayOptions['serveWithoutLeader'] {
  if (serve === undefined) return undefined
  let nextAtMs = Number.NEGATIVE_INFINITY
  return async () => {
    if (performance.now() < nextAtMs) return undefined
    const response = await serve()
    nextAtMs = performance.now() + LEADERLESS_READ_INTERVAL_MS
    return response
  }
}
