import type { IEvent } from '../kernel/IEvent.js'

/** The one entry that owns the batches and gives orders to engines. */
export interface ILeadership {
  /** Fires with the epoch when this entry has become the leader. */
  readonly onGained: IEvent<number>
  /** Fires when another claim has replaced this entry's. */
  readonly onLost: IEvent<void>
  /** Epoch while no other entry can hold the leadership; undefined otherwise. */
  validEpoch (): number | undefined
  /** Address of the newest known leader, unless it has released the leadership. */
  leaderAddress (): string | undefined
  readonly isLeader: boolean
  /** Epoch of the newest known leader. */
  readonly latestKnownEpoch: number | undefined
  /** Takes note of a leader that another entry has read of; a newer one ends this entry's leadership. */
  observeLeader (epoch: number, address: string): void
  /** Gives the leadership back and never claims it again. */
  release (): Promise<void>
}
