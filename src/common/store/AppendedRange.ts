/** Where the records of an append lie; empty when it appended nothing. */
export interface AppendedRange {
  firstOffset: number
  /** Offset behind the last record. */
  endOffset: number
}
