import { parseJson } from '../../common/kernel/parseJson.js'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { IContributionSender } from '../../common/usage/IContributionSender.js'
import type { UsageContribution } from '../../common/usage/UsageContribution.js'
import { usageContributionSchema } from '../../common/usage/usageContributionSchema.js'
import type { UsageReceipt } from '../../common/usage/UsageReceipt.js'
import { usageReceiptSchema } from '../../common/usage/usageReceiptSchema.js'
import type { ListenerRequest } from './ListenerRequest.js'
import type { ListenerResponse } from './ListenerResponse.js'
import { postToPeer } from './postToPeer.js'

const USAGE_PATH = '/usage'

/** Sends the counts of an entry to the leader over the peer listener, and serves them there. */
export class UsageRelay implements IContributionSender {
  constructor (
    private readonly _leadership: ILeadership,
    private readonly _ownAddress: string,
    private readonly _client: IUpstreamClient,
    private readonly _logger: ILogger
  ) {}

  static isUsagePath (path: string): boolean {
    return path === USAGE_PATH
  }

  /** Responds to a contribution; `accept` returns undefined at an entry that does not lead. */
  static serve (request: ListenerRequest, accept: (contribution: UsageContribution) => UsageReceipt | undefined, logger: ILogger): ListenerResponse {
    const contribution = usageContributionSchema.safeParse(parseJson(request.body))
    if (!contribution.success) {
      logger.error({ reason: contribution.error.issues[0]?.message }, 'usage_contribution_malformed')
      return { status: 400 }
    }
    const receipt = accept(contribution.data)
    return receipt === undefined ? { status: 503 } : { status: 200, headers: { 'content-type': 'application/json' }, body: JSON.stringify(receipt) }
  }

  async send (contribution: UsageContribution): Promise<UsageReceipt | undefined> {
    const address = this._leadership.leaderAddress()
    if (address === undefined || address === this._ownAddress) return undefined
    const result = await postToPeer(this._client, address, USAGE_PATH, Buffer.from(JSON.stringify(contribution)))
    if (result.isErr() || result.value.status !== 200) {
      this._logger.info({ leader: address, status: result.isOk() ? result.value.status : undefined, reason: result.isErr() ? result.error.kind : undefined }, 'usage_send_failed')
      return undefined
    }
    const receipt = usageReceiptSchema.safeParse(parseJson(result.value.body))
    if (!receipt.success) {
      this._logger.error({ leader: address, reason: receipt.error.issues[0]?.message }, 'usage_receipt_malformed')
      return undefined
    }
    // A second copy of an earlier receipt may precede this one on the connection.
    return receipt.data.sentAtUnixMs === contribution.sentAtUnixMs ? receipt.data : undefined
  }
}
