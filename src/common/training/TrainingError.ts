/** Errors of the training service. `mayTakeEffect` tells whether the record may still be added to the log. */
export type TrainingError =
  | { kind: 'trainer_unknown', message: string }
  | { kind: 'step_invalid', message: string, field: string }
  | { kind: 'step_conflict', message: string }
  | { kind: 'cursor_invalid', message: string }
  | { kind: 'training_unavailable', message: string, mayTakeEffect: boolean }
