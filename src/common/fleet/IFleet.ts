import type { IEvent } from '../kernel/IEvent.js'
import type { FleetUpstream } from './FleetUpstream.js'

/** The upstreams that may be given work. */
export interface IFleet {
  /** Fires after upstreams have come, changed or gone. */
  readonly onChanged: IEvent<void>
  readonly onRemoved: IEvent<FleetUpstream>
  /** Upstreams of a service that are neither draining nor gone. */
  listAvailable (service: string): FleetUpstream[]
  all (): FleetUpstream[]
  find (id: string): FleetUpstream | undefined
}
