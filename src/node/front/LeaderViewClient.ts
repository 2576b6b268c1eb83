import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { LeaderView } from './LeaderView.js'
import { leaderViewSchema } from './leaderViewSchema.js'

const VIEW_PATH = '/leader'
const FETCH_TIMEOUT_MS = 400

/** Fetches the leader views of other entries. Concurrent fetches from the same entry share one request. */
export class LeaderViewClient {
  private readonly _pending = new Map<string, Promise<LeaderView | undefined>>()

  constructor (private readonly _client: IUpstreamClient, private readonly _logger: ILogger) {}

  static isLeaderViewPath (path: string): boolean {
    return path === VIEW_PATH
  }

  /** Resolves with undefined if the entry does not respond or its response is malformed. */
  async fetch (address: string): Promise<LeaderView | undefined> {
    const pending = this._pending.get(address)
    if (pending !== undefined) return await pending
    const fetched = this._fetch(address)
    this._pending.set(address, fetched)
    const view = await fetched
    this._pending.delete(address)
    return view
  }

  private async _fetch (address: string): Promise<LeaderView | undefined> {
    const request = { requestId: 'leader', method: 'GET', path: VIEW_PATH, headers: {}, deadlineAtMs: performance.now() + FETCH_TIMEOUT_MS }
    const result = await this._client.call(address, request, new AbortController().signal)
    if (result.isErr() || result.value.status !== 200) return undefined
    try {
      return leaderViewSchema.parse(JSON.parse(Buffer.from(result.value.body).toString()))
    } catch (error) {
      this._logger.error({ peer: address, reason: (error as Error).message }, 'leader_view_malformed')
      return undefined
    }
  }
}
