import type { Sample } from '../../schema/Sample.js'

/** Outcome of one run of a sample. `stale` means that the sample has to be generated again with newer weights. */
export type SampleRunOutcome =
  | { kind: 'done', sample: Sample }
  | { kind: 'stale' }
  | { kind: 'aborted' }
  | { kind: 'failed', reason: string }
