/** Errors of the store. `mayTakeEffect` tells whether the append may have taken effect or may still do so. */
export type StoreError =
  | { kind: 'unavailable', message: string, mayTakeEffect: boolean }
  | { kind: 'fenced', message: string, mayTakeEffect: false }
  | { kind: 'end_moved', message: string, mayTakeEffect: false, endOffset: number }
  | { kind: 'expired', message: string, mayTakeEffect: false, firstOffset: number }
  | { kind: 'out_of_sequence', message: string, mayTakeEffect: false, expectedSequence: number }
  | { kind: 'rejected', message: string, mayTakeEffect: false }
