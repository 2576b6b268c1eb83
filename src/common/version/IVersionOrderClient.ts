import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { VersionOrder } from './VersionOrder.js'
import type { VersionOrderOutcome } from './VersionOrderOutcome.js'

/** Sends version orders to engines. */
export interface IVersionOrderClient {
  send (engine: FleetUpstream, order: VersionOrder): Promise<VersionOrderOutcome>
  /** Number of orders that the engine has accepted since it started; undefined if it does not respond. */
  acceptedOrderCount (engine: FleetUpstream): Promise<number | undefined>
}
