import type { IDisposable } from '../kernel/IDisposable.js'
import type { IEvent } from '../kernel/IEvent.js'
import type { Lease } from './Lease.js'

/** Leases that are decided through the log. A lease is identified by its name and has at most one holder. */
export interface ILeaseService extends IDisposable {
  /** Fires when this entry gains a lease. */
  readonly onGained: IEvent<Lease>
  /** Fires when this entry no longer holds a lease. */
  readonly onLost: IEvent<Lease>
  /** Starts to acquire a lease: takes it whenever it is free and renews it until `release` is called. */
  acquire (name: string): void
  /** Releases a lease and stops acquiring it. */
  release (name: string): void
  /** The lease if this entry holds it now, by its own clock. To be called right before each action that needs it. */
  held (name: string): Lease | undefined
}
