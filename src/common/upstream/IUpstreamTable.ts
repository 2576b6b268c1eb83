import type { IEvent } from '../kernel/IEvent.js'
import type { Member } from '../schema/Member.js'
import type { Upstream } from './Upstream.js'
import type { UpstreamCrash } from './UpstreamCrash.js'

/** The upstreams of each service, fed by the membership list, load reports, gossip and own calls. */
export interface IUpstreamTable {
  /** Fires when an upstream appears, leaves, dies or comes back. */
  readonly onChange: IEvent<Upstream>
  /** Fires once for each boot id that ended. */
  readonly onCrash: IEvent<UpstreamCrash>
  get (upstreamId: string): Upstream | undefined
  /** Upstreams of a service that may receive new work now. */
  available (service: string): Upstream[]
  /** All upstreams of a service, leaving and dead ones included. */
  all (service?: string): Upstream[]
  /** Replaces the membership list's view. */
  updateMembers (members: Member[]): void
  /** A peer says that this incarnation leaves. */
  markLeaving (upstreamId: string, incarnation: string): void
  /** Requests that peers report in flight. */
  updatePeerOutstanding (upstreamId: string, outstanding: number): void
  /** A call could not connect (`sent` is false) or was reset (`sent` is true, the default). */
  reportFailure (upstreamId: string, sent?: boolean): void
}
