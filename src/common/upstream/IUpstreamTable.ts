import type { IEvent } from '../kernel/IEvent.js'
import type { Member } from '../schema/Member.js'
import type { Upstream } from './Upstream.js'
import type { UpstreamCrash } from './UpstreamCrash.js'

/** State of the upstreams of each service, from the membership list, load reports, gossip and this entry's requests. */
export interface IUpstreamTable {
  /**
   * Fires when an upstream is added, or its service, address, incarnation, leaving or down state changes. An upstream
   * that is removed counts as leaving.
   */
  readonly onChange: IEvent<Upstream>
  /** Fires once for each boot of an upstream that ended. */
  readonly onCrash: IEvent<UpstreamCrash>
  get (upstreamId: string): Upstream | undefined
  /** Upstreams of a service that may receive new requests: those neither leaving nor down. */
  available (service: string): Upstream[]
  /** All upstreams, or those of one service, including leaving ones and ones that are down. */
  all (service?: string): Upstream[]
  /** Applies a new membership list. */
  updateMembers (members: Member[]): void
  /** Marks an incarnation as leaving, as reported by a peer. */
  markLeaving (upstreamId: string, incarnation: string): void
  /** Sets the number of requests that peers report in flight. */
  updatePeerOutstanding (upstreamId: string, outstanding: number): void
  /** Records a request that could not connect (`sent` is false) or that failed after it was sent (`sent` is true, the default). */
  reportFailure (upstreamId: string, sent?: boolean): void
}
