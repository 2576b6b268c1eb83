/** One atomic append of keyed records to a topic. */
export interface StoreAppendRequest {
  topic: string
  records: ReadonlyArray<{ key: string, value?: Uint8Array }>
  /** Condition: the topic must end at this offset. */
  expectedEndOffset?: number
  /** Condition: no writer of the same name with a higher epoch has written; numbers follow one another. */
  writer?: { name: string, epoch: number, sequence: number }
  timeoutMs: number
}
