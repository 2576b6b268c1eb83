import type { KeyedRecord } from './KeyedRecord.js'

/** Newest records of the keys of a topic; pages are not a snapshot of one moment. */
export interface StorePage {
  records: KeyedRecord[]
  hasMore: boolean
  endOffset: number
}
