import type { ServiceSettings } from '../settings/ServiceSettings.js'
import type { ISwapOrder } from './ISwapOrder.js'
import { sortSwapCandidates } from './sortSwapCandidates.js'

/** The order of a service's `swap_order` setting; `listed` only puts engines with failed loads last. */
export function createSwapOrder (swapOrder: ServiceSettings['swapOrder']): ISwapOrder {
  if (swapOrder === 'planned') return { sort: sortSwapCandidates }
  return { sort: candidates => [...candidates].sort((a, b) => a.failures - b.failures) }
}
