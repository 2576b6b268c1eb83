/** How a claim ended: with a stored result, by its holder's release, or by leaving the memory of this entry. */
export type ClaimSettlement = 'answered' | 'released' | 'forgotten'
