/** Errors of the trainer interface. */
export type TrainingError =
  | { kind: 'trainer_unknown', message: string }
  | { kind: 'step_invalid', message: string, field: string }
  | { kind: 'step_conflict', message: string }
  | { kind: 'cursor_invalid', message: string }
  | { kind: 'training_unavailable', message: string, mayLand: boolean }
