/** The rest of the slots stays free for callers, whose target latency is shorter than the due time of a step. */
const SLOT_SHARE = 0.5

/**
 * Number of reward calls that may be open at a service whose upstreams have these slots. Answers the pattern in which
 * the runs of a step end together, and their reward calls would fill every slot that callers use.
 */
export function maxOpenRewards (slots: readonly number[]): number {
  return Math.max(1, Math.floor(slots.reduce((sum, count) => sum + count, 0) * SLOT_SHARE))
}
