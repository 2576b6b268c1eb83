import type { KeyedRecord } from './KeyedRecord.js'

/** Consecutive records of a topic. */
export interface StoreSlice {
  records: KeyedRecord[]
  nextOffset: number
}
