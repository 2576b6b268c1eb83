/** Object that holds resources until it is disposed; `dispose` is idempotent. */
export interface IDisposable {
  dispose (): void
}
