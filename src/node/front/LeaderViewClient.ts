import type { ILogger } from '../../common/metrics/ILogger.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { LeaderView } from './LeaderView.js'
import { leaderViewSchema } from './leaderViewSchema.js'

const VIEW_PATH = '/leader'
const ASK_TIMEOUT_MS = 400

/** Asks other entries who leads; questions to the same entry at the same time are one. */
export class LeaderViewClient {
  private readonly _asking = new Map<string, Promise<LeaderView | undefined>>()

  constructor (private readonly _client: IUpstreamClient, private readonly _logger: ILogger) {}

  static isLeaderViewPath (path: string): boolean {
    return path === VIEW_PATH
  }

  /** Resolves with undefined when the entry does not answer. */
  async fetch (address: string): Promise<LeaderView | undefined> {
    const running = this._asking.get(address)
    if (running !== undefined) return await running
    const asking = this._ask(address)
    this._asking.set(address, asking)
    const view = await asking
    this._asking.delete(address)
    return view
  }

  private async _ask (address: string): Promise<LeaderView | undefined> {
    const request = { requestId: 'leader', method: 'GET', path: VIEW_PATH, headers: {}, deadlineAtMs: performance.now() + ASK_TIMEOUT_MS }
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
