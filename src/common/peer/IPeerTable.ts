import type { IEvent } from '../kernel/IEvent.js'
import type { Peer } from './Peer.js'

/** Live entries, from the membership list and heartbeats. */
export interface IPeerTable {
  readonly selfId: string
  /** Fires when the set of live entries changes. */
  readonly onChange: IEvent<void>
  /** Ids of the entries that are alive and not draining, this one included unless it drains. */
  liveIds (): string[]
  all (): Peer[]
}
