/** How a run of an item at an engine ended. */
export type EngineRunOutcome =
  | { kind: 'complete' }
  /** The engine did not run the item. */
  | { kind: 'not_run', reason: 'full' | 'wrong_upstream' | 'connect_failed' | 'cancelled' }
  /** The engine reported that the run failed. */
  | { kind: 'failed', status: number }
  /** The engine reported that the item cannot be run by any engine. */
  | { kind: 'impossible' }
  /** The stream broke; another engine may resume after the last event. */
  | { kind: 'broken', reason: string }
