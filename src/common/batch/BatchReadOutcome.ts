import type { BatchResult } from './record/BatchResult.js'

/** Outcome of reading a batch: `absent` only when that is certain. */
export type BatchReadOutcome =
  | { kind: 'results', total: number, next: number, results: BatchResult[] }
  | { kind: 'absent' }
  | { kind: 'unsure' }
