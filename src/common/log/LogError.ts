/**
 * Errors of the log layer. `mayTakeEffect` tells whether the record may still appear in the stream;
 * it is false only when the log rejected the append without applying it.
 */
export type LogError =
  | { kind: 'log_unavailable', message: string, mayTakeEffect: boolean }
  | { kind: 'log_rejected', message: string, mayTakeEffect: false }
  | { kind: 'out_of_retention', message: string, mayTakeEffect: false, earliestOffset: number, nextOffset: number }
