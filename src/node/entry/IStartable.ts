/** A service with background work. */
export interface IStartable {
  /** Starts the work; resolves once it is running. */
  start (): unknown
}
