import type { IDisposable } from '../kernel/IDisposable.js'

/** Makes the engines of each service load the newest weights of its trainers while this entry holds the service's lease. */
export interface IWeightRollout extends IDisposable {
  start (): void
}
