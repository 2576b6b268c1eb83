import { createServiceId } from '../../kernel/createServiceId.js'
import type { IStepTable } from './IStepTable.js'

/** Identifier of the step table service. */
export const stepTableId = createServiceId<IStepTable>('stepTable')
