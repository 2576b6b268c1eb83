import type { HandoffProgress } from '../../common/batch/record/HandoffProgress.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import { postToPeer } from './postToPeer.js'

const PROGRESS_PATH = '/progress'
const RETRY_DELAY_MS = 100
/** After this time the new leader has regenerated as much output itself. */
const RETRY_FOR_MS = 3000

/**
 * Sends the output of a former leader's items directly to the new leader, which it may reach although it has lost its
 * connection to the store.
 */
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

  /** Retries until the new leader has accepted the progress or the time for retries has passed. */
  async send (progress: HandoffProgress): Promise<void> {
    const body = Buffer.from(JSON.stringify(progress))
    const retryUntilMs = performance.now() + RETRY_FOR_MS
    while (performance.now() < retryUntilMs) {
      const address = this._leadership.leaderAddress()
      if (address !== undefined && address !== this._ownAddress && await this._post(address, body)) {
        this._logger.info({ leader: address, items: progress.length, bytes: body.length }, 'progress_passed_on')
        return
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
    this._logger.warn({ items: progress.length }, 'progress_not_passed_on')
  }

  private async _post (address: string, body: Uint8Array): Promise<boolean> {
    const result = await postToPeer(this._client, address, PROGRESS_PATH, body)
    return result.isOk() && result.value.status === 200
  }
}
