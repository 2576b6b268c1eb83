/**
 * Errors of the log layer. `mayLand` tells whether the record may still appear in the stream:
 * false only when the log refused it before the change.
 */
export type LogError =
  | { kind: 'log_unavailable', message: string, mayLand: boolean }
  | { kind: 'log_refused', message: string, mayLand: false }
  | { kind: 'out_of_retention', message: string, mayLand: false, earliestOffset: number, nextOffset: number }
