/** Durable record of the orders that leaders were about to send. */
export interface IVersionOrderStore {
  /** Wall-clock time of the last order to an engine, in Unix milliseconds. */
  lastOrderedAtMs (engineId: string): number | undefined
  /** Records an order before it is sent; resolves with true once the record is durable. */
  recordOrder (engineId: string, orderedAtMs: number): Promise<boolean>
}
