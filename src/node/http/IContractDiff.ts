import type { Contract } from '../../common/schema/Contract.js'

/** Compares two contracts field by field; `before` is absent for a first revision. */
export type IContractDiff = (before: Contract | undefined, after: Contract) => unknown[]
