/** How a run of an item at an engine ended. */
export type EngineRunOutcome =
  | { kind: 'complete' }
  /** The engine did not run it. */
  | { kind: 'not_run', reason: 'full' | 'wrong_upstream' | 'connect_failed' | 'cancelled' }
  /** The engine says that the run failed. */
  | { kind: 'failed', status: number }
  /** The engine says that the item can never be done. */
  | { kind: 'impossible' }
  /** The stream broke; it may go on elsewhere behind the last event. */
  | { kind: 'broken', reason: string }
