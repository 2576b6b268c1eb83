import { createServiceId } from '../kernel/createServiceId.js'
import type { ISuspectTable } from './ISuspectTable.js'

/** Identifier of the suspect table service. */
export const suspectTableId = createServiceId<ISuspectTable>('suspectTable')
