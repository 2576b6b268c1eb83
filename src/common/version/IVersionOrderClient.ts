import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { VersionOrder } from './VersionOrder.js'
import type { VersionOrderOutcome } from './VersionOrderOutcome.js'

/** Gives orders to engines. */
export interface IVersionOrderClient {
  send (engine: FleetUpstream, order: VersionOrder): Promise<VersionOrderOutcome>
  /** Number of orders that the engine has accepted in this life; undefined when it does not answer. */
  acceptedOrderCount (engine: FleetUpstream): Promise<number | undefined>
}
