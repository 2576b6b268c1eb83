import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { IContractDiff } from './IContractDiff.js'

/** Identifier of the function that compares contracts. */
export const contractDiffId = createServiceId<IContractDiff>('contractDiff')
