/** Exchanges state with random entries. */
export interface IGossip {
  /** Sends the state at once to several entries, for news that should not wait. */
  announce (): void
}
