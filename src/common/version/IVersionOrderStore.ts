/** Orders that leaders were about to give, as the store keeps them. */
export interface IVersionOrderStore {
  /** Wall-clock time of the last order to an engine, in Unix milliseconds. */
  lastOrderedAtMs (engineId: string): number | undefined
  /** Resolves with true once the order is on record, which comes before it is given. */
  recordOrder (engineId: string, orderedAtMs: number): Promise<boolean>
}
