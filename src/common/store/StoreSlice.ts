import type { KeyedRecord } from './KeyedRecord.js'

/** Consecutive records of a topic, as returned by one read. */
export interface StoreSlice {
  records: KeyedRecord[]
  nextOffset: number
  /** End of the topic when the store responded. Nothing else is stored if it equals `nextOffset`. */
  endOffset: number
}
