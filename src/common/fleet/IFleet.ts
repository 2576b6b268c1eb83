import type { IEvent } from '../kernel/IEvent.js'
import type { FleetUpstream } from './FleetUpstream.js'

/** The upstreams known to this entry. */
export interface IFleet {
  /** Fires after upstreams have been added, changed or removed. */
  readonly onChanged: IEvent<void>
  /** Fires with each incarnation of an upstream that has been removed or replaced by a newer one. */
  readonly onRemoved: IEvent<FleetUpstream>
  /** Upstreams of a service that do not leave. */
  listAvailable (service: string): FleetUpstream[]
  all (): FleetUpstream[]
  find (id: string): FleetUpstream | undefined
}
