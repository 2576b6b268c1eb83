import type { Sample } from '../../schema/Sample.js'

/** How the run of a sample ended. `stale` means that newer weights are needed first. */
export type SampleRunOutcome =
  | { kind: 'done', sample: Sample }
  | { kind: 'stale' }
  | { kind: 'aborted' }
  | { kind: 'failed', reason: string }
