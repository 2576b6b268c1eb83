/** What is known about how recent the routing configuration of this process is. */
export interface IConfigSource {
  /**
   * `performance.now()` up to which the configuration in force is known to be the newest one; negative infinity while
   * there is none.
   */
  readonly upToDateAtMs: number
}
