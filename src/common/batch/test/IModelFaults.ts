import type { FaultyStoreClient } from '../../store/test/FaultyStoreClient.js'

/** What a model decides about its entries, and what they report to it. */
export interface IModelFaults {
  /** Fault of the next call to the store. */
  nextFault: ConstructorParameters<typeof FaultyStoreClient>[1]
  /** Whether a term is to fail at its start, as by an unexpected error of the restore. */
  nextTermFails (): boolean
  /** Takes an epoch that an entry has gained. */
  recordGained (epoch: number): void
}
