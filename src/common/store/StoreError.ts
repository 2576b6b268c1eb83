/** Errors of the store. `mayTakeEffect` tells whether the append may have taken effect or may still do so. */
export type StoreError =
  | { kind: 'unavailable', message: string, mayTakeEffect: boolean }
  /** A writer of the same name with a higher epoch has written, or this writer has been closed. */
  | { kind: 'fenced', message: string, mayTakeEffect: false }
  /** The topic does not end at the expected offset. */
  | { kind: 'end_moved', message: string, mayTakeEffect: false, endOffset: number }
  /** The records at the requested offset are no longer retained. */
  | { kind: 'expired', message: string, mayTakeEffect: false, firstOffset: number }
  | { kind: 'out_of_sequence', message: string, mayTakeEffect: false, expectedSequence: number }
  /** The store refused the request for another reason, and a retry would not help. */
  | { kind: 'rejected', message: string, mayTakeEffect: false }
