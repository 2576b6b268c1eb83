/** Errors of the store layer. `mayLand` tells whether an append may still take effect. */
export type StoreError =
  | { kind: 'unavailable', message: string, mayTakeEffect: boolean }
  | { kind: 'fenced', message: string, mayTakeEffect: false }
  | { kind: 'end_moved', message: string, mayTakeEffect: false, endOffset: number }
  | { kind: 'expired', message: string, mayTakeEffect: false, firstOffset: number }
  | { kind: 'out_of_sequence', message: string, mayTakeEffect: false, expectedSequence: number }
  | { kind: 'rejected', message: string, mayTakeEffect: false }
