import type { IEvent } from '../kernel/IEvent.js'

/** Counts the requests of each organisation that began to run. */
export interface IUsageMeter {
  /** Attempts that are still pending then count as possibly run. */
  readonly onStopping: IEvent<void>
  /** `atUnixMs`: this entry's wall clock when it sent the first attempt that has run or may have run. */
  recordStart (organisation: string, atUnixMs: number): void
}
