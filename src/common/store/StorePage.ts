import type { KeyedRecord } from './KeyedRecord.js'

/** One page of the newest record of each key of a topic. Pages may reflect different moments. */
export interface StorePage {
  records: KeyedRecord[]
  hasMore: boolean
  endOffset: number
}
