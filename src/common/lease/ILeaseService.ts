import type { IDisposable } from '../kernel/IDisposable.js'
import type { IEvent } from '../kernel/IEvent.js'
import type { Lease } from './Lease.js'

/** Leases through the log, one holder a name. */
export interface ILeaseService extends IDisposable {
  /** Fires when this entry gains a lease. */
  readonly onGained: IEvent<Lease>
  /** Fires when this entry no longer holds a lease. */
  readonly onLost: IEvent<Lease>
  /** Tries to hold a lease from now on, renewing it until it is given up. */
  acquire (name: string): void
  /** Gives up a lease and stops seeking it. */
  release (name: string): void
  /** The lease if this entry holds it at this moment by its own clock; call right before acting. */
  held (name: string): Lease | undefined
}
