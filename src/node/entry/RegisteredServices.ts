import type { IStartable } from './IStartable.js'

/** Services that the entry starts, and the in-flight work that it waits for before it stops. */
export interface RegisteredServices {
  /** Services with background work, in start order. */
  startOrder: IStartable[]
  /** Returns the number of operations in flight other than HTTP requests, for example running samples. A drain waits for them. */
  inFlight: () => number
}
