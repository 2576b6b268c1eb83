import type { SwapCandidate } from './SwapCandidate.js'

/** Decides in which order engines load new weights. */
export interface ISwapOrder {
  sort (candidates: readonly SwapCandidate[]): SwapCandidate[]
}
