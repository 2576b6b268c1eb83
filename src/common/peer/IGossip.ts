/** Exchanges state with randomly chosen entries. */
export interface IGossip {
  /** Sends the state to several entries immediately, for changes that should not wait for the next interval. */
  announce (): void
}
