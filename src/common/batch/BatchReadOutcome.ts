import type { BatchResult } from './record/BatchResult.js'

/** Outcome of a batch read. `absent` is certain; with `unavailable` this entry cannot tell, and the caller should retry. */
export type BatchReadOutcome =
  | { kind: 'results', total: number, next: number, results: BatchResult[] }
  | { kind: 'absent' }
  | { kind: 'unavailable' }
