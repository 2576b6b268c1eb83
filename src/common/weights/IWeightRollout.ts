import type { IDisposable } from '../kernel/IDisposable.js'

/** Makes the engines of each service load the newest weights of its trainers, as holder of the service's lease. */
export interface IWeightRollout extends IDisposable {
  start (): void
}
