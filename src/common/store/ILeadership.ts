import type { IEvent } from '../kernel/IEvent.js'

/** Leadership among the entries: the leader owns all batches and sends all orders to engines. */
export interface ILeadership {
  /** Fires with the epoch when this entry becomes the leader. */
  readonly onGained: IEvent<number>
  /** Fires when this entry has given up the leadership or another entry has claimed it. */
  readonly onLost: IEvent<void>
  /** Epoch of this entry while its lease excludes other leaders; undefined otherwise. */
  validEpoch (): number | undefined
  /** Address of the latest known leader; undefined if it has released the leadership. */
  leaderAddress (): string | undefined
  /** Whether this entry is the latest known leader; its lease may have expired. */
  readonly isLeader: boolean
  /** Epoch of the latest known leader. */
  readonly latestKnownEpoch: number | undefined
  /** Records a leader reported by another entry; a higher epoch ends this entry's leadership. */
  observeLeader (epoch: number, address: string): void
  /**
   * Gives up an epoch that this entry cannot serve, so that a new epoch begins here or at another entry. Has no effect
   * if the entry does not hold this epoch.
   */
  resign (epoch: number, reason: string): void
  /** Releases the leadership and never claims it again. */
  release (): Promise<void>
}
