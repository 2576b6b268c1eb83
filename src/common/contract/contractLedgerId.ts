import { createServiceId } from '../kernel/createServiceId.js'
import type { IContractLedger } from './IContractLedger.js'

/** Identifier of the contract ledger; the same instance as the contract store. */
export const contractLedgerId = createServiceId<IContractLedger>('contractLedger')
