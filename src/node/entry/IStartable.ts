/** A service with background work. */
export interface IStartable {
  /** Begins the work; resolves when it runs. */
  start (): unknown
}
