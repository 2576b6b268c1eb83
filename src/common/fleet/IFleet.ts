import type { IEvent } from '../kernel/IEvent.js'
import type { FleetUpstream } from './FleetUpstream.js'

/** The upstreams that may be given work. */
export interface IFleet {
  /** Fires after upstreams have come, changed or gone. */
  readonly onChanged: IEvent<void>
  readonly onGone: IEvent<FleetUpstream>
  /** Upstreams of a service that are neither draining nor gone. */
  ofService (service: string): FleetUpstream[]
  all (): FleetUpstream[]
  find (id: string): FleetUpstream | undefined
}
