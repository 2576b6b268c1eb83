/**
 * Errors of the log layer. `mayLand` tells whether the record may still appear in the stream;
 * it is false only when the log rejected the append without applying it.
 */
export type LogError =
  | { kind: 'log_unavailable', message: string, mayLand: boolean }
  | { kind: 'log_refused', message: string, mayLand: false }
  | { kind: 'out_of_retention', message: string, mayLand: false, earliestOffset: number, nextOffset: number }
