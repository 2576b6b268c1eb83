/** Offsets of the records of an append; empty if it appended none. */
export interface AppendedRange {
  firstOffset: number
  /** Offset after the last record. */
  endOffset: number
}
