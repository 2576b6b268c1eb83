/**
 * How a claim ended: its result was stored, its holder released it, or this entry removed it from its state
 * (`removed`) because it expired, was evicted or precedes a gap in the log.
 */
export type ClaimSettlement = 'completed' | 'released' | 'removed'
