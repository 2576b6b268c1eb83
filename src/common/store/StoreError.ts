/** Errors of the store layer. `mayLand` tells whether an append may still take effect. */
export type StoreError =
  | { kind: 'unavailable', message: string, mayLand: boolean }
  | { kind: 'fenced', message: string, mayLand: false }
  | { kind: 'end_moved', message: string, mayLand: false, endOffset: number }
  | { kind: 'expired', message: string, mayLand: false, firstOffset: number }
  | { kind: 'out_of_sequence', message: string, mayLand: false, expectedSequence: number }
  | { kind: 'rejected', message: string, mayLand: false }
