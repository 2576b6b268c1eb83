import type { IStartable } from './IStartable.js'

/** What the entry must know of the services that were registered. */
export interface RegisteredServices {
  /** Services with background work, in the order in which they start. */
  startOrder: IStartable[]
  /** Pieces of work besides HTTP requests that a drain waits for, for example running samples. */
  inFlight: () => number
}
