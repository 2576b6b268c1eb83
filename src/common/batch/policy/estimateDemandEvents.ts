import type { BatchItem } from '../record/BatchItem.js'
import { LengthEstimator } from './LengthEstimator.js'

/** Has learned nothing, so that models with and without hints are compared by the same initial values. */
const initialEstimator = new LengthEstimator()

/**
 * Estimates the number of events that the items of a batch generate, by which engines are assigned to models. The
 * maximum number of output tokens takes no part, because it exceeds the typical output of an item many times.
 */
export function estimateDemandEvents (items: readonly BatchItem[]): number {
  return items.reduce((sum, { lengthHintTokens }) => sum + initialEstimator.expectedEvents(lengthHintTokens), 0)
}
