import { assignEngines } from '../../../version/assignEngines.js'
import { combineDemand } from '../../../version/combineDemand.js'
import { chooseEngine } from '../../policy/chooseEngine.js'
import { estimateDemandEvents } from '../../policy/estimateDemandEvents.js'
import { orderItems } from '../../policy/orderItems.js'
import type { IClusterPolicy } from './IClusterPolicy.js'

/** The decisions of the product. */
export const chosenPolicy: IClusterPolicy = {
  order: orderItems,
  chooseEngine,
  assignEngines,
  demand: batch => estimateDemandEvents(batch.items.map(({ item }) => item)),
  combineDemand
}
