import type { IEvent } from '../kernel/IEvent.js'
import type { Peer } from './Peer.js'

/** Entries known from the membership list and heartbeats. */
export interface IPeerTable {
  readonly selfId: string
  /** Fires when the set of live entries changes. */
  readonly onChange: IEvent<void>
  /** Sorted ids of the entries that are alive and not draining, including this one unless it is draining. */
  liveIds (): string[]
  /** All known entries except this one. */
  all (): Peer[]
}
