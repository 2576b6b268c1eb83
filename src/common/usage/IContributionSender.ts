import type { UsageContribution } from './UsageContribution.js'
import type { UsageReceipt } from './UsageReceipt.js'

/** Sends contributions to the entry that leads. */
export interface IContributionSender {
  /** Makes one attempt; undefined without a receipt. */
  send (contribution: UsageContribution): Promise<UsageReceipt | undefined>
}
