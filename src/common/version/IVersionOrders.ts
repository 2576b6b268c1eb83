import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { VersionOrder } from './VersionOrder.js'
import type { VersionOrderEnd } from './VersionOrderEnd.js'

/** Gives orders to engines. */
export interface IVersionOrders {
  send (engine: FleetUpstream, order: VersionOrder): Promise<VersionOrderEnd>
  /** Number of orders that the engine has accepted in this life; undefined when it does not answer. */
  acceptedCount (engine: FleetUpstream): Promise<number | undefined>
}
