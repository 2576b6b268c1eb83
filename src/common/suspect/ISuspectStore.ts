import type { IEvent } from '../kernel/IEvent.js'
import type { Incarnation } from './Incarnation.js'
import type { SuspectRecord } from './SuspectRecord.js'

/** Shares what is known of suspects between the entries. */
export interface ISuspectStore {
  /** Fires with each record of any entry, including this one. */
  readonly onRecord: IEvent<SuspectRecord>
  /** Writes a crash; it is retried until the store accepts it. */
  publish (fingerprint: string, incarnation: Incarnation): void
  /** Deletes a crash. */
  withdraw (fingerprint: string, incarnation: Incarnation): void
  /** Deletes the trial of a request whose crashes are deleted. */
  withdrawTrial (fingerprint: string): void
  /** Writes that a request came again, so that it stays remembered. */
  renewTrial (fingerprint: string): void
  /** Claims the next trial of a request; at most one entry succeeds. */
  claimTrial (fingerprint: string): Promise<boolean>
}
