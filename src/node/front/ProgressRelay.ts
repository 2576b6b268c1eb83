import type { HandoffProgress } from '../../common/batch/record/HandoffProgress.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'

const PROGRESS_PATH = '/progress'
const SEND_TIMEOUT_MS = 800
const RETRY_PAUSE_MS = 100
/** Later than this the next leader has generated as much itself. */
const GIVE_UP_MS = 3000

/** Passes what a leader had generated to the next one, which both can reach although this one lost the store. */
export class ProgressRelay {
  constructor (
    private readonly _leadership: ILeadership,
    private readonly _ownAddress: string,
    private readonly _client: IUpstreamClient,
    private readonly _logger: ILogger
  ) {}

  static isProgressPath (path: string): boolean {
    return path === PROGRESS_PATH
  }

  /** Sends until the next leader has taken it, or it is too late. */
  async send (left: HandoffProgress): Promise<void> {
    const body = Buffer.from(JSON.stringify(left))
    const untilMs = performance.now() + GIVE_UP_MS
    while (performance.now() < untilMs) {
      const address = this._leadership.leaderAddress()
      if (address !== undefined && address !== this._ownAddress && await this._post(address, body)) {
        this._logger.info({ leader: address, items: left.length, bytes: body.length }, 'progress_passed_on')
        return
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS))
    }
    this._logger.warn({ items: left.length }, 'progress_not_passed_on')
  }

  private async _post (address: string, body: Uint8Array): Promise<boolean> {
    const request = { requestId: 'progress', method: 'POST', path: PROGRESS_PATH, headers: {}, body, deadlineAtMs: performance.now() + SEND_TIMEOUT_MS }
    const result = await this._client.call(address, request, new AbortController().signal)
    return result.isOk() && result.value.status === 200
  }
}
